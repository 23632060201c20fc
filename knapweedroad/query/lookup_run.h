// One caller's non-idempotent lookup: it runs at most once.
//
//   LookupRun run({.front = front, .service = service, .own_zone = zone,
//                  .start = now, .deadline = now + 200ms, .hooks = hooks});
//   Do(run.Start(now));
//
// A lookup runs at most once: one attempt is in flight at a time, and the next
// is sent only after proof that the last did not run; all doubt is passed on to
// the caller as `unknown`.
//
// It runs on the host responsible for the key, behind an IdempotencyTable.

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
  // It outlives the run.
  const FrontConfig& front;
  ServiceId service;
  ZoneId own_zone;
  TimePoint start;
  TimePoint deadline;
  Duration return_margin = kDefaultReturnMargin;
  QueryHooks hooks;
};

// There is no way to abandon it: a caller that left may send the key again,
// and then gets this run's answer.
class LookupRun {
 public:
  explicit LookupRun(LookupRunOptions options);

  // As those of RecordRun. A cancel at the deadline doesn't make the outcome
  // known: it stays `unknown`.
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
  void SendOrRefuse(TimePoint now, RecordStep& step);
  void Refuse(QueryRefusal refusal, RecordStep& step);

  LookupRunOptions options;
  TimePoint answer_by;
  // The one attempt in flight.
  std::optional<InFlightAttempt> in_flight;
  std::vector<TargetId> tried_targets;
  std::optional<Duration> shortest_retry_after;
  bool is_finished = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_LOOKUP_RUN_H_
