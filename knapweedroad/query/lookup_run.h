// Runs one caller's non-idempotent lookup, at most once.
//
//   LookupRun run({.front = front, .service = service, .own_zone = zone,
//                  .start = now, .deadline = now + 200ms, .hooks = hooks});
//   Perform(run.Start(now));
//   Perform(run.OnReply(attempt, reply, now));   // when a reply arrives
//   Perform(run.OnTimer(now));                   // at run.NextWake()

#ifndef KNAPWEEDROAD_QUERY_LOOKUP_RUN_H_
#define KNAPWEEDROAD_QUERY_LOOKUP_RUN_H_

#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/call_context.h"
#include "knapweedroad/query/record_run.h"
#include "knapweedroad/query/service_call.h"
#include "knapweedroad/query/target_attempt_failure.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

struct LookupRunOptions {
  // Must outlive the run.
  const FrontConfig& front;
  // The service that holds the record.
  ServiceId service;
  // The zone of this host.
  ZoneId own_zone;
  // When the caller's request arrived, and when the caller stops waiting.
  TimePoint start;
  TimePoint deadline;
  // How long before `deadline` the result is sent; see AnswerBy().
  Duration return_margin = kDefaultReturnMargin;
  QueryHooks hooks;
};

// Guarantees that the lookup runs at most once: one attempt is in flight at a
// time, and the next one is sent only if it is certain that the last one did
// not run. In all other failures the caller gets the attempt's outcome, which
// is `kUnknown` if the lookup may have run. It does no I/O: its functions
// return the actions that the host performs.
//
// It runs on the host responsible for the request's idempotency key, after
// IdempotencyTable::Begin() has returned kRun. It cannot be abandoned: a caller
// that disconnects may send the key again, and then gets this run's result.
class LookupRun {
 public:
  explicit LookupRun(LookupRunOptions options);

  // These behave as in RecordRun, but OnTimer() sends no attempt. If an attempt
  // is in flight when the time is up, it is cancelled and the outcome is
  // `kUnknown`, as it may have run nevertheless.
  RecordStep Start(TimePoint now);
  RecordStep OnReply(const AttemptId& attempt,
                     RecordReply reply,
                     TimePoint now);
  RecordStep OnFailure(const AttemptId& attempt,
                       const TargetAttemptFailure& failure,
                       TimePoint now);
  RecordStep OnTimer(TimePoint now);
  std::optional<TimePoint> NextWake() const;

  bool finished() const { return this->is_finished; }

 private:
  // Sends an attempt to a target that was not tried yet. Finishes with an error
  // if there is none or the time is up.
  void SendOrRefuse(TimePoint now, RecordStep& step);
  void Refuse(QueryRefusal refusal, RecordStep& step);

  LookupRunOptions options;
  // When the result is sent at the latest; also the deadline of each attempt.
  TimePoint answer_by;
  // The attempt in flight, if any; there is never a second one.
  std::optional<InFlightAttempt> in_flight;
  std::vector<TargetId> tried_targets;
  // The shortest `retry_after` of all failures, if any had one.
  std::optional<Duration> shortest_retry_after;
  bool is_finished = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_LOOKUP_RUN_H_
