#include "knapweedroad/query/snapshot_choice.h"

#include <functional>
#include <set>

#include "knapweedroad/query/replica_choice.h"

namespace knapweedroad {
namespace {

struct Support {
  Coverage reachable;
  // Whether enough targets of each service that can answer hold it.
  bool enough_replicas = true;
};

bool EnoughHolders(const std::vector<TargetCandidate>& targets,
                   const SnapshotId& snapshot,
                   double share) {
  double warm = 0;
  double holders = 0;
  for (const TargetCandidate& target : targets) {
    if (target.state != TargetState::kReady ||
        !CanServe(target, std::nullopt)) {
      continue;
    }
    warm += 1;
    holders += CanServe(target, snapshot) ? 1 : 0;
  }
  return holders >= share * warm;
}

bool AnyHolder(const std::vector<TargetCandidate>& targets,
               const SnapshotId& snapshot) {
  for (const TargetCandidate& target : targets) {
    if (CanServe(target, snapshot)) {
      return true;
    }
  }
  return false;
}

Support SupportOf(const GenerationConfig& generation,
                  const CandidatesByService& candidates,
                  const SnapshotId& snapshot,
                  const SnapshotRule& rule) {
  Support support;
  support.reachable.units_total = TotalUnits(generation);
  for (const auto& [service, units] : generation.units) {
    const auto targets = candidates.find(service);
    if (targets == candidates.end() || !AnyHolder(targets->second, snapshot)) {
      continue;
    }
    support.reachable.units_answered += units;
    if (!EnoughHolders(targets->second, snapshot, rule.enough_replicas)) {
      support.enough_replicas = false;
    }
  }
  return support;
}

// Newest first.
std::set<SnapshotId, std::greater<>> Offered(
    const CandidatesByService& candidates) {
  std::set<SnapshotId, std::greater<>> offered;
  for (const auto& [service, targets] : candidates) {
    for (const TargetCandidate& target : targets) {
      offered.insert(target.holds.begin(), target.holds.end());
    }
  }
  return offered;
}

}  // namespace

std::optional<SnapshotChoice> ChooseSnapshot(
    const FrontConfig& front,
    const CandidatesByService& candidates,
    const SnapshotRule& rule,
    std::optional<SnapshotId> newer_than) {
  std::optional<SnapshotChoice> enough;
  std::optional<SnapshotChoice> most;
  for (const SnapshotId& snapshot : Offered(candidates)) {
    if (newer_than && snapshot <= *newer_than) {
      break;
    }
    const auto* generation = FindGeneration(front, snapshot.generation);
    if (generation == nullptr) {
      continue;
    }
    const Support support = SupportOf(*generation, candidates, snapshot, rule);
    if (support.reachable.units_answered == 0) {
      continue;
    }
    const SnapshotChoice choice{snapshot, support.reachable};
    if (support.reachable.Reaches(rule.enough_coverage)) {
      if (support.enough_replicas) {
        return choice;
      }
      enough = enough ? enough : choice;
    }
    if (!most || CoversMore(support.reachable, most->reachable)) {
      most = choice;
    }
  }
  return enough ? enough : most;
}

const GenerationConfig* FindGeneration(const FrontConfig& front,
                                       uint32_t number) {
  for (const GenerationConfig& generation : front.generations) {
    if (generation.number == number) {
      return &generation;
    }
  }
  return nullptr;
}

}  // namespace knapweedroad
