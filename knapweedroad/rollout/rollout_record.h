// The state of the rollout of a new version of a service. It is part of the
// state that the control hosts replicate by agreement.

#ifndef KNAPWEEDROAD_ROLLOUT_ROLLOUT_RECORD_H_
#define KNAPWEEDROAD_ROLLOUT_ROLLOUT_RECORD_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// The state of a rollout. It changes once, from kRunning to one of the others.
enum class RolloutState : uint8_t {
  kRunning = 1,
  kCompleted = 2,   // all requests go to the candidate
  kRolledBack = 3,  // no request goes to the candidate
};

// An accepted order that a later order for the same service replaced.
struct ReplacedOrder {
  VersionId candidate;
  // When the order was accepted, in Unix milliseconds by the clock of the
  // control host that accepted it.
  int64_t ordered_ms = 0;

  friend bool operator==(const ReplacedOrder&, const ReplacedOrder&) = default;

  // Serializes the fields in wire order for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->candidate, this->ordered_ms);
  }
};

// The newest order for a service and its state.
struct RolloutRecord {
  ServiceId service;
  // The number of orders accepted for the service, this one included. Messages
  // with another number belong to another rollout and are ignored.
  uint64_t number = 0;
  // The version in use before the rollout. Empty means any version other than
  // the candidate.
  VersionId stable;
  VersionId candidate;
  RolloutState state = RolloutState::kRunning;
  // When the order was accepted, in Unix milliseconds by the clock of the
  // control host that accepted it.
  int64_t ordered_ms = 0;
  // The time from the order to the deadline, by which all requests are to go to
  // the candidate.
  int64_t duration_ms = 0;
  // The control host that evaluates the candidate and completes the rollout or
  // rolls it back.
  HostId owner;
  // Replaced orders of the service, oldest first. Only the newest are kept.
  std::vector<ReplacedOrder> replaced;

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;

  // Serializes the fields in wire order for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->number, this->stable, this->candidate,
            this->state, this->ordered_ms, this->duration_ms, this->owner,
            this->replaced);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_RECORD_H_
