// Operations on the rollouts in the agreed state: accepting an order, ending a
// rollout, changing its owner. Control hosts apply them to the agreed value, so
// each has to be deterministic, and applying one again has to change nothing.
//
//   ApplyOrder(state.rollouts, {.service = service, .candidate = v2, ...});
//   FinishRollout(state.rollouts, service, number, owner, state);

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

// The number of ended rollouts above which accepting the first order for a
// service removes the oldest ended rollout.
inline constexpr size_t kMaxEndedRollouts = 2000;

// An order to roll out a version, as the control host that received it submits
// it.
struct RolloutRequest {
  ServiceId service;
  VersionId candidate;
  // The version in use according to the control host. Empty if unknown.
  VersionId serving_version;
  // The time from the order to its deadline.
  Duration duration{};
  // The control host that received the order. It becomes the rollout's owner.
  HostId owner;
  // When the order was received, in Unix milliseconds.
  int64_t now_ms = 0;
  // An order for a version that was rolled back or replaced is treated as a
  // resend of the earlier order if it comes within this time after it.
  Duration resend_window{};
};

// Applies an order. The newest order for a service replaces a running rollout.
// A resend of an earlier order changes nothing; an order for the candidate of a
// running or completed rollout always counts as a resend. An order for the
// version in use is completed at once. `rollouts` are sorted by service.
void ApplyOrder(std::vector<RolloutRecord>& rollouts,
                const RolloutRequest& request);

// Sets the state of the service's rollout to `state` if it has this number and
// owner and is running. Changes nothing otherwise: a former owner gets no more
// reports and can't judge the candidate.
void FinishRollout(std::vector<RolloutRecord>& rollouts,
                   const ServiceId& service,
                   uint64_t number,
                   const HostId& owner,
                   RolloutState state);

// Changes the owner of the service's rollout to `to` if the rollout is running
// and its owner is `from`. Changes nothing otherwise.
void TakeOverRollout(std::vector<RolloutRecord>& rollouts,
                     const ServiceId& service,
                     const HostId& from,
                     const HostId& to);

// Returns the rollout of the service, or null if none was ordered. `rollouts`
// are sorted by service.
const RolloutRecord* FindRollout(std::span<const RolloutRecord> rollouts,
                                 const ServiceId& service);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_ORDERS_H_
