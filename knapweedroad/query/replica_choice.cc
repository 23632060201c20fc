#include "knapweedroad/query/replica_choice.h"

#include <algorithm>
#include <vector>

namespace knapweedroad {
namespace {

// Lower is better.
enum class Tier : uint8_t {
  kFreeInZone,
  kFreeElsewhere,
  kBusy,
  kFreeCold,
  kBusyCold,
};

uint32_t Load(const TargetCandidate& candidate) {
  return candidate.in_flight + candidate.queued;
}

Tier TierOf(const TargetCandidate& candidate, const ReplicaRequest& request) {
  if (candidate.state == TargetState::kCold) {
    const bool room = Load(candidate) < request.cold_slots;
    return room ? Tier::kFreeCold : Tier::kBusyCold;
  }
  if (Load(candidate) >= request.slots) {
    return Tier::kBusy;
  }
  return candidate.zone == request.own_zone ? Tier::kFreeInZone
                                            : Tier::kFreeElsewhere;
}

bool Excluded(const TargetCandidate& candidate, const ReplicaRequest& request) {
  return std::ranges::find(request.excluded, candidate.target) !=
         request.excluded.end();
}

// The less loaded of two different ones: always taking the least loaded would
// send every host to the same target while their view of it lags.
const TargetCandidate* BetterOfTwo(
    const std::vector<const TargetCandidate*>& equals,
    const std::function<uint64_t()>& random) {
  if (equals.size() == 1) {
    return equals.front();
  }
  const size_t first = random() % equals.size();
  const size_t step = 1 + random() % (equals.size() - 1);
  const size_t second = (first + step) % equals.size();
  return Load(*equals[second]) < Load(*equals[first]) ? equals[second]
                                                      : equals[first];
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
  Tier best_tier = Tier::kBusyCold;
  for (const TargetCandidate& candidate : candidates) {
    if (!CanServe(candidate, request.snapshot) ||
        Excluded(candidate, request)) {
      continue;
    }
    const Tier tier = TierOf(candidate, request);
    if (request.free_slot_only && tier > Tier::kFreeElsewhere) {
      continue;
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
  return *BetterOfTwo(best, request.random);
}

}  // namespace knapweedroad
