#include "knapweedroad/query/replica_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace knapweedroad {
namespace {

// Lower is better.
enum class Tier : uint8_t { kWarm, kFreeCold, kBusyCold };

// A view of loads that is some requests old can't tell a difference of one.
constexpr uint32_t kEqualLoads = 1;

uint32_t Load(const TargetCandidate& candidate) {
  return candidate.in_flight + candidate.queued;
}

Tier TierOf(const TargetCandidate& candidate, const ReplicaRequest& request) {
  if (candidate.state == TargetState::kCold) {
    const bool room = Load(candidate) < request.cold_slots;
    return room ? Tier::kFreeCold : Tier::kBusyCold;
  }
  return Tier::kWarm;
}

bool HasFreeWarmSlot(const TargetCandidate& candidate,
                     const ReplicaRequest& request) {
  return candidate.state != TargetState::kCold &&
         Load(candidate) < request.slots;
}

bool Excluded(const TargetCandidate& candidate, const ReplicaRequest& request) {
  return std::ranges::find(request.excluded, candidate.target) !=
         request.excluded.end();
}

// The better of two picked at random: all hosts would else pick the target that
// was the least loaded a while ago. The own zone only decides between two that
// are about as busy, as zones differ in hosts.
const TargetCandidate* BetterOfTwo(
    const std::vector<const TargetCandidate*>& equals,
    const ReplicaRequest& request) {
  if (equals.size() == 1) {
    return equals.front();
  }
  const size_t first = request.random() % equals.size();
  const size_t step = 1 + request.random() % (equals.size() - 1);
  const TargetCandidate* one = equals[first];
  const TargetCandidate* other = equals[(first + step) % equals.size()];
  if (Load(*other) < Load(*one)) {
    std::swap(one, other);
  }
  const bool about_equal = Load(*other) - Load(*one) <= kEqualLoads;
  const bool nearer =
      other->zone == request.own_zone && one->zone != request.own_zone;
  return about_equal && nearer ? other : one;
}

// One in so many first choices goes to a cold target that has room: without any
// work it stays cold, and the service has one replica less to lose.
constexpr uint64_t kWarmingOneIn = 8;

bool ShouldWarm(const ReplicaRequest& request) {
  return !request.free_slot_only && request.random() % kWarmingOneIn == 0;
}

}  // namespace

const ServiceConfig& FindService(const FrontConfig& front,
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
  return !snapshot ||
         std::ranges::find(candidate.holds, *snapshot) != candidate.holds.end();
}

std::optional<TargetCandidate> ChooseReplica(
    std::span<const TargetCandidate> candidates,
    const ReplicaRequest& request) {
  std::vector<const TargetCandidate*> best;
  std::vector<const TargetCandidate*> free_cold;
  Tier best_tier = Tier::kBusyCold;
  for (const TargetCandidate& candidate : candidates) {
    if (!CanServe(candidate, request.snapshot) ||
        Excluded(candidate, request)) {
      continue;
    }
    const Tier tier = TierOf(candidate, request);
    if (request.free_slot_only && !HasFreeWarmSlot(candidate, request)) {
      continue;
    }
    if (tier == Tier::kFreeCold) {
      free_cold.push_back(&candidate);
    }
    if (tier < best_tier) {
      best.clear();
      best_tier = tier;
    }
    if (tier == best_tier) {
      best.push_back(&candidate);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  if (best_tier == Tier::kWarm && !free_cold.empty() && ShouldWarm(request)) {
    return *BetterOfTwo(free_cold, request);
  }
  return *BetterOfTwo(best, request);
}

}  // namespace knapweedroad
