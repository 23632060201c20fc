#include "knapweedroad/query/replica_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace knapweedroad {
namespace {

// Lower values are preferred.
enum class ReplicaTier : uint8_t { kWarm, kFreeCold, kBusyCold };

// Reported loads lag by some requests, so a difference of one is not
// significant.
constexpr uint32_t kMaxEqualLoadDifference = 1;

uint32_t Load(const TargetCandidate& candidate) {
  return candidate.in_flight + candidate.queued;
}

ReplicaTier TierOf(const TargetCandidate& candidate,
                   const ReplicaChoiceOptions& options) {
  if (candidate.state == TargetState::kCold) {
    const bool has_room = Load(candidate) < options.cold_slots;
    return has_room ? ReplicaTier::kFreeCold : ReplicaTier::kBusyCold;
  }
  return ReplicaTier::kWarm;
}

bool HasFreeWarmSlot(const TargetCandidate& candidate,
                     const ReplicaChoiceOptions& options) {
  return candidate.state != TargetState::kCold &&
         Load(candidate) < options.slots;
}

bool IsExcluded(const TargetCandidate& candidate,
                const ReplicaChoiceOptions& options) {
  return std::ranges::find(options.excluded, candidate.target) !=
         options.excluded.end();
}

// Chooses between two random targets. If each host chose the least loaded
// target, all would choose the same one from the same outdated loads. The own
// zone only decides between similar loads: zones have different numbers of
// hosts, and a strict preference would overload the targets of the larger
// zones.
const TargetCandidate* BetterOfTwo(
    const std::vector<const TargetCandidate*>& eligible,
    const ReplicaChoiceOptions& options) {
  if (eligible.size() == 1) {
    return eligible.front();
  }
  const size_t first_index = options.random() % eligible.size();
  const size_t step = 1 + options.random() % (eligible.size() - 1);
  const TargetCandidate* one = eligible[first_index];
  const TargetCandidate* other =
      eligible[(first_index + step) % eligible.size()];
  if (Load(*other) < Load(*one)) {
    std::swap(one, other);
  }
  const bool about_equal = Load(*other) - Load(*one) <= kMaxEqualLoadDifference;
  const bool only_other_in_own_zone =
      other->zone == options.own_zone && one->zone != options.own_zone;
  return about_equal && only_other_in_own_zone ? other : one;
}

// One choice in this many goes to a cold target with a free slot. A target that
// gets no requests stays cold, which leaves the service with one usable replica
// less.
constexpr uint64_t kChoicesPerWarmUp = 8;

bool ShouldWarmUp(const ReplicaChoiceOptions& options) {
  return !options.free_slot_only && options.random() % kChoicesPerWarmUp == 0;
}

}  // namespace

const ServiceConfig& ServiceConfigOrDefault(const FrontConfig& front,
                                            const ServiceId& service) {
  static const ServiceConfig unknown{.slots = 1};
  const auto found =
      std::ranges::find(front.services, service, &ServiceConfig::name);
  return found == front.services.end() ? unknown : *found;
}

bool CanServe(const TargetCandidate& candidate,
              const std::optional<SnapshotId>& snapshot) {
  if (!candidate.usable || candidate.state == TargetState::kLeaving) {
    return false;
  }
  return !snapshot || std::ranges::find(candidate.snapshots, *snapshot) !=
                          candidate.snapshots.end();
}

std::optional<TargetCandidate> ChooseReplica(
    std::span<const TargetCandidate> candidates,
    const ReplicaChoiceOptions& options) {
  std::vector<const TargetCandidate*> preferred;
  std::vector<const TargetCandidate*> free_cold;
  ReplicaTier preferred_tier = ReplicaTier::kBusyCold;
  for (const TargetCandidate& candidate : candidates) {
    if (!CanServe(candidate, options.snapshot) ||
        IsExcluded(candidate, options)) {
      continue;
    }
    const ReplicaTier tier = TierOf(candidate, options);
    if (options.free_slot_only && !HasFreeWarmSlot(candidate, options)) {
      continue;
    }
    if (tier == ReplicaTier::kFreeCold) {
      free_cold.push_back(&candidate);
    }
    if (tier < preferred_tier) {
      preferred.clear();
      preferred_tier = tier;
    }
    if (tier == preferred_tier) {
      preferred.push_back(&candidate);
    }
  }
  if (preferred.empty()) {
    return std::nullopt;
  }
  if (preferred_tier == ReplicaTier::kWarm && !free_cold.empty() &&
      ShouldWarmUp(options)) {
    return *BetterOfTwo(free_cold, options);
  }
  return *BetterOfTwo(preferred, options);
}

}  // namespace knapweedroad
