// A roll-out of a new version of a service, as control hosts agree on it.

#ifndef KNAPWEEDROAD_ROLLOUT_ROLLOUT_RECORD_H_
#define KNAPWEEDROAD_ROLLOUT_ROLLOUT_RECORD_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// Changes once, from kRunning to one of the others.
enum class RolloutState : uint8_t {
  kRunning = 1,
  kCompleted = 2,   // the candidate gets all requests, the stable version none
  kRolledBack = 3,  // the candidate gets none
};

// An order that was accepted.
struct ReplacedOrder {
  VersionId candidate;
  // Unix milliseconds, of the control host that accepted it.
  int64_t ordered_ms = 0;

  friend bool operator==(const ReplacedOrder&, const ReplacedOrder&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->candidate, this->ordered_ms);
  }
};

struct RolloutRecord {
  ServiceId service;
  // Counts the orders for the service; tells messages of an earlier one.
  uint64_t number = 0;
  // The version in force before. Empty: any but the candidate.
  VersionId stable;
  VersionId candidate;
  RolloutState state = RolloutState::kRunning;
  // Unix milliseconds, of the control host that accepted the order.
  int64_t ordered_ms = 0;
  // When the candidate is to have all requests, from the order on.
  int64_t duration_ms = 0;
  // The control host that watches the candidate and decides.
  HostId owner;
  // Orders that a later one replaced, oldest first.
  std::vector<ReplacedOrder> replaced;

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->number, this->stable, this->candidate,
            this->state, this->ordered_ms, this->duration_ms, this->owner,
            this->replaced);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_RECORD_H_
