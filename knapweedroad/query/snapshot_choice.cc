#include "knapweedroad/query/snapshot_choice.h"

#include <functional>
#include <set>

#include "knapweedroad/query/replica_choice.h"

namespace knapweedroad {
namespace {

struct SnapshotAvailability {
  Coverage reachable;
  // Whether, in each service with a holder, the share of warm targets that hold
  // the snapshot reaches `min_holder_share`.
  bool enough_holders = true;
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

SnapshotAvailability AvailabilityOf(const GenerationConfig& generation,
                                    const CandidatesByService& candidates,
                                    const SnapshotId& snapshot,
                                    const SnapshotPolicy& policy) {
  SnapshotAvailability availability;
  availability.reachable.units_total = TotalUnits(generation);
  for (const auto& [service, units] : generation.units) {
    const auto targets = candidates.find(service);
    if (targets == candidates.end() || !AnyHolder(targets->second, snapshot)) {
      continue;
    }
    availability.reachable.units_answered += units;
    if (!EnoughHolders(targets->second, snapshot, policy.min_holder_share)) {
      availability.enough_holders = false;
    }
  }
  return availability;
}

// Returns the snapshots that any candidate holds, newest first.
std::set<SnapshotId, std::greater<>> HeldSnapshots(
    const CandidatesByService& candidates) {
  std::set<SnapshotId, std::greater<>> held;
  for (const auto& [service, targets] : candidates) {
    for (const TargetCandidate& target : targets) {
      held.insert(target.snapshots.begin(), target.snapshots.end());
    }
  }
  return held;
}

}  // namespace

std::optional<SnapshotChoice> ChooseSnapshot(
    const FrontConfig& front,
    const CandidatesByService& candidates,
    const SnapshotPolicy& policy,
    std::optional<SnapshotId> newer_than) {
  std::optional<SnapshotChoice> sufficient;
  std::optional<SnapshotChoice> widest;
  for (const SnapshotId& snapshot : HeldSnapshots(candidates)) {
    if (newer_than && snapshot <= *newer_than) {
      break;
    }
    const auto* generation = FindGeneration(front, snapshot.generation);
    if (generation == nullptr) {
      continue;
    }
    const SnapshotAvailability availability =
        AvailabilityOf(*generation, candidates, snapshot, policy);
    if (availability.reachable.units_answered == 0) {
      continue;
    }
    const SnapshotChoice choice{snapshot, availability.reachable};
    if (availability.reachable.Reaches(policy.sufficient_coverage)) {
      if (availability.enough_holders) {
        return choice;
      }
      sufficient = sufficient ? sufficient : choice;
    }
    if (!widest || CoversMore(availability.reachable, widest->reachable)) {
      widest = choice;
    }
  }
  return sufficient ? sufficient : widest;
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
