// Gets one answer from one service: first try, hedge and retries.
//
//   ServiceCall call(service, pinned);
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
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/query/attempt_failure.h"
#include "knapweedroad/query/call_context.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

struct InFlightAttempt {
  AttemptId id;
  TargetId target;
  ZoneId zone;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  TimePoint sent;
};

// The request is idempotent: two targets may run it at once.
class ServiceCall {
 public:
  enum class State : uint8_t { kPending, kAnswered, kFailed };

  // Without a snapshot any target of the service will do.
  ServiceCall(const ServiceId& service, std::optional<SnapshotId> snapshot);

  // Sends the first try; gives up where no target can be asked.
  void Start(const CallContext& context, TimePoint now, QueryActions& actions);

  // Ends the wait for that attempt and returns it; nothing if it isn't
  // awaited. OnAnswered() or OnFailed() follows.
  std::optional<InFlightAttempt> TakeAttempt(const AttemptId& attempt);

  // The answer is good: cancels the other attempts.
  void OnAnswered(const CallContext& context,
                  const InFlightAttempt& attempt,
                  TimePoint now,
                  QueryActions& actions);

  // Asks another target, waits to ask again, or gives up.
  void OnFailed(const CallContext& context,
                const InFlightAttempt& attempt,
                const AttemptFailure& failure,
                TimePoint now,
                QueryActions& actions);

  // Hedges and asks again where it is time to.
  void OnTimer(const CallContext& context,
               TimePoint now,
               QueryActions& actions);

  // Cancels all attempts.
  void CancelInFlight(const CallContext& context,
                      TimePoint now,
                      QueryActions& actions);

  std::optional<TimePoint> NextWake() const;

  const ServiceId& service() const { return this->service_id; }
  State state() const { return this->call_state; }
  bool has_in_flight() const { return !this->in_flight.empty(); }
  // The shortest time that a refusal named.
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
                     const AttemptFailure& failure);
  void ScheduleHedge(const CallContext& context, TimePoint now);
  void TryHedge(const CallContext& context,
                TimePoint now,
                QueryActions& actions);
  void TryRetry(const CallContext& context,
                TimePoint now,
                QueryActions& actions);
  // They may have a slot by now, and a retry may wait for one.
  void AllowRefusedHedgeTargets();
  bool RetryOnAnotherTarget(const CallContext& context,
                            RunOutcome outcome,
                            TimePoint now,
                            QueryActions& actions);
  void ScheduleRetryOrFail(const CallContext& context, TimePoint now);
  void Fail();

  ServiceId service_id;
  std::optional<SnapshotId> snapshot;
  State call_state = State::kPending;
  std::vector<InFlightAttempt> in_flight;
  // Targets that aren't asked again in this round.
  std::vector<TargetId> tried;
  // Those of `tried` that refused a hedge, for want of a free slot.
  std::vector<TargetId> refused_hedge_targets;
  // When the one in_flight attempt counts as slow.
  std::optional<TimePoint> hedge_at;
  // When to ask again; nothing is in_flight until then.
  std::optional<TimePoint> retry_at;
  std::optional<Duration> shortest_retry_after;
  // A target was asked again because its connection had failed.
  bool retried_same_target = false;
  // Times that all targets have been asked in vain.
  uint32_t failed_rounds = 0;
};

// How long a request to this service takes, in the median.
Duration MedianLatency(const CallContext& context, const ServiceId& service);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_SERVICE_CALL_H_
