// What orders and verdicts make of the agreed roll-outs. Control hosts apply
// these to the agreed value, so each has to give the same result wherever and
// however often it is applied.
//
//   ApplyOrder(state.rollouts, {.service = service, .candidate = v2, ...});
//   FinishRollout(state.rollouts, service, number, RolloutState::kCompleted);

#ifndef KNAPWEEDROAD_ROLLOUT_ROLLOUT_ORDERS_H_
#define KNAPWEEDROAD_ROLLOUT_ROLLOUT_ORDERS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/rollout/rollout_record.h"

namespace knapweedroad {

// Ended roll-outs that are kept; beyond that the oldest are forgotten.
inline constexpr size_t kMaxEndedRollouts = 2000;

struct RolloutRequest {
  ServiceId service;
  VersionId candidate;
  // The version that serves now, as the control host knows it; empty: unknown.
  VersionId serving_version;
  Duration duration{};
  // The control host that takes the order.
  HostId owner;
  // Unix milliseconds.
  int64_t now_ms = 0;
  // An equal order within this time is the same one sent again.
  Duration resend_window{};
};

// Takes an order. The newest order for a service replaces a running one. An
// order for the version in force is complete at once.
void ApplyOrder(std::vector<RolloutRecord>& rollouts,
                const RolloutRequest& request);

// Ends the roll-out of that number if it runs; else nothing changes.
void FinishRollout(std::vector<RolloutRecord>& rollouts,
                   const ServiceId& service,
                   uint64_t number,
                   RolloutState state);

// Gives a running roll-out whose owner is still `from` to another host.
void TakeOverRollout(std::vector<RolloutRecord>& rollouts,
                     const ServiceId& service,
                     const HostId& from,
                     const HostId& to);

// Null: none was ordered. `rollouts` in order of their services.
const RolloutRecord* FindRollout(std::span<const RolloutRecord> rollouts,
                                 const ServiceId& service);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_ORDERS_H_
