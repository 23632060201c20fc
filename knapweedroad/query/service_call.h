// Gets one reply from one service, with hedges and retries.
//
//   ServiceCall call(service, snapshot);
//   call.Start(context, now, actions);
//   if (auto attempt = call.TakeAttempt(id)) {
//     call.OnAnswered(context, *attempt, now, actions);
//   }

#ifndef KNAPWEEDROAD_QUERY_SERVICE_CALL_H_
#define KNAPWEEDROAD_QUERY_SERVICE_CALL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/send_permission.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/query/call_context.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/target_attempt_failure.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

// An attempt that was sent and has not ended.
struct InFlightAttempt {
  AttemptId id;
  TargetId target;
  ZoneId zone;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  TimePoint sent;
};

// Sends one idempotent request to a service until one target replies: a first
// attempt, hedges while it is slow, and retries after failures. Several targets
// may run the request at the same time. It does no I/O: each function appends
// the actions that the host performs.
class ServiceCall {
 public:
  // kFailed: no target replied, and no further attempt will be made.
  enum class State : uint8_t { kPending, kAnswered, kFailed };

  // If `snapshot` is set, only targets that hold it are used.
  ServiceCall(const ServiceId& service, std::optional<SnapshotId> snapshot);

  // Sends the first attempt, or fails if no target is eligible.
  void Start(const CallContext& context, TimePoint now, QueryActions& actions);

  // Removes the attempt from those in flight and returns it, or returns nullopt
  // if it is not in flight. The caller then calls OnAnswered() or OnFailed()
  // with it.
  std::optional<InFlightAttempt> TakeAttempt(const AttemptId& attempt);

  // Accepts the attempt's reply and cancels the other attempts.
  void OnAnswered(const CallContext& context,
                  const InFlightAttempt& attempt,
                  TimePoint now,
                  QueryActions& actions);

  // Leaves other attempts in flight running. If there are none, retries on
  // another target, schedules a retry, or fails. A refused hedge is sent to
  // another target.
  void OnFailed(const CallContext& context,
                const InFlightAttempt& attempt,
                const TargetAttemptFailure& failure,
                TimePoint now,
                QueryActions& actions);

  // Sends the hedge or the retry that is due.
  void OnTimer(const CallContext& context,
               TimePoint now,
               QueryActions& actions);

  // Cancels all attempts in flight, and the scheduled hedge and retry.
  void CancelInFlight(const CallContext& context,
                      TimePoint now,
                      QueryActions& actions);

  // Returns the time of the next call of OnTimer(), if any.
  std::optional<TimePoint> NextWake() const;

  const ServiceId& service() const { return this->service_id; }
  State state() const { return this->call_state; }
  bool has_in_flight() const { return !this->in_flight.empty(); }
  // Returns the shortest `retry_after` of all failures, if any had one.
  std::optional<Duration> retry_after() const {
    return this->shortest_retry_after;
  }

 private:
  bool TrySend(const CallContext& context,
               AttemptPurpose purpose,
               TimePoint now,
               QueryActions& actions);
  void RecordRefusal(const CallContext& context,
                     const InFlightAttempt& attempt,
                     const TargetAttemptFailure& failure);
  void ScheduleHedge(const CallContext& context, TimePoint now);
  void TryHedge(const CallContext& context,
                TimePoint now,
                QueryActions& actions);
  void TryRetry(const CallContext& context,
                TimePoint now,
                QueryActions& actions);
  // Makes the targets that refused a hedge eligible again. They may have a free
  // slot by now, and unlike a hedge, a retry may wait for one.
  void AllowRefusedHedgeTargets();
  bool RetryOnAnotherTarget(const CallContext& context,
                            RunOutcome outcome,
                            TimePoint now,
                            QueryActions& actions);
  void ScheduleRetryOrFail(const CallContext& context, TimePoint now);
  // After TrySend() was not permitted.
  void RetryIfHeldOrFail(TimePoint now);
  void Fail();

  ServiceId service_id;
  std::optional<SnapshotId> snapshot;
  State call_state = State::kPending;
  std::vector<InFlightAttempt> in_flight;
  // Targets that are excluded until the next round of retries.
  std::vector<TargetId> tried;
  // The targets in `tried` that refused a hedge because they had no free slot.
  std::vector<TargetId> refused_hedge_targets;
  // When the next hedge is tried.
  std::optional<TimePoint> hedge_at;
  // When the next round of retries starts; no attempt is in flight until then.
  std::optional<TimePoint> retry_at;
  std::optional<Duration> shortest_retry_after;
  // Whether a target was retried because its connection had failed.
  bool retried_same_target = false;
  // What hooks.check_send said last.
  SendPermission last_permission = SendPermission::kAllowed;
  // The number of rounds in which all targets were tried and failed.
  uint32_t failed_rounds = 0;
};

// Returns the median latency of the service's targets in the own zone, or zero
// if there are too few samples.
Duration MedianLatency(const CallContext& context, const ServiceId& service);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_SERVICE_CALL_H_
