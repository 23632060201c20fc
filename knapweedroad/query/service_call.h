// Gets one answer from one service: first try, hedge and retries.
//
//   ServiceCall call(service, pinned);
//   call.Start(context, now, actions);
//   if (auto attempt = call.Take(id)) {
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
#include "knapweedroad/query/call_context.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/sub_failure.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

struct LiveAttempt {
  AttemptId id;
  TargetId target;
  ZoneId zone;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  TimePoint sent;
};

// The request is idempotent: two targets may run it at once.
class ServiceCall {
 public:
  enum class State : uint8_t { kOpen, kAnswered, kGivenUp };

  // Without a snapshot any target of the service will do.
  ServiceCall(const ServiceId& service, std::optional<SnapshotId> snapshot);

  // Sends the first try; gives up where no target can be asked.
  void Start(const CallContext& context, TimePoint now, QueryActions& actions);

  // Ends the wait for that attempt and returns it; nothing if it isn't
  // awaited. OnAnswered() or OnFailed() follows.
  std::optional<LiveAttempt> Take(const AttemptId& attempt);

  // The answer is good: cancels the other attempts.
  void OnAnswered(const CallContext& context,
                  const LiveAttempt& attempt,
                  TimePoint now,
                  QueryActions& actions);

  // Asks another target, waits to ask again, or gives up.
  void OnFailed(const CallContext& context,
                const LiveAttempt& attempt,
                const SubFailure& failure,
                TimePoint now,
                QueryActions& actions);

  // Hedges and asks again where it is time to.
  void OnTimer(const CallContext& context,
               TimePoint now,
               QueryActions& actions);

  // Cancels all attempts.
  void CancelLive(const CallContext& context,
                  TimePoint now,
                  QueryActions& actions);

  std::optional<TimePoint> NextWake() const;

  const ServiceId& service() const { return this->service_id; }
  State state() const { return this->call_state; }
  bool has_live() const { return !this->live.empty(); }
  // The shortest time that a refusal named.
  std::optional<Duration> retry_after() const { return this->shortest_wait; }

 private:
  bool TrySend(const CallContext& context,
               AttemptPurpose purpose,
               TimePoint now,
               QueryActions& actions);
  void NoteRefusal(const CallContext& context,
                   const LiveAttempt& attempt,
                   const SubFailure& failure);
  void PlanHedge(const CallContext& context, TimePoint now);
  void TryHedge(const CallContext& context,
                TimePoint now,
                QueryActions& actions);
  void TryRetry(const CallContext& context,
                TimePoint now,
                QueryActions& actions);
  // They may have a slot by now, and a retry may wait for one.
  void AskFullOnesAgain();
  bool TryAnotherTarget(const CallContext& context,
                        RunOutcome outcome,
                        TimePoint now,
                        QueryActions& actions);
  void WaitOrGiveUp(const CallContext& context, TimePoint now);
  void GiveUp();

  ServiceId service_id;
  std::optional<SnapshotId> snapshot;
  State call_state = State::kOpen;
  std::vector<LiveAttempt> live;
  // Targets that aren't asked again in this round.
  std::vector<TargetId> tried;
  // Those of `tried` that refused a hedge, for want of a free slot.
  std::vector<TargetId> full_for_hedges;
  // When the one live attempt counts as slow.
  std::optional<TimePoint> hedge_at;
  // When to ask again; nothing is live until then.
  std::optional<TimePoint> retry_at;
  std::optional<Duration> shortest_wait;
  // A target was asked again because its connection had failed.
  bool asked_again = false;
  // Times that all targets have been asked in vain.
  uint32_t rounds = 0;
};

// How long a request to this service takes, in the median.
Duration TypicalLatency(const CallContext& context, const ServiceId& service);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_SERVICE_CALL_H_
