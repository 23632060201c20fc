// One caller's idempotent read of one record: retry and hedge are allowed.
//
//   RecordRun run({.front = front, .service = service, .own_zone = zone,
//                  .start = now, .deadline = now + 100ms, .state = state,
//                  .hooks = hooks});
//   Do(run.Start(now));

#ifndef KNAPWEEDROAD_QUERY_RECORD_RUN_H_
#define KNAPWEEDROAD_QUERY_RECORD_RUN_H_

#include <optional>
#include <variant>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/call_context.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/record_reply.h"
#include "knapweedroad/query/service_call.h"
#include "knapweedroad/query/target_attempt_failure.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

// How a record read or a lookup ended.
using RecordResult = std::variant<RecordReply, QueryRefusal>;

// `result` comes once, with the last step.
struct RecordStep {
  // Only SendAttempt and CancelAttempt; the snapshot of a send is unset.
  QueryActions actions;
  std::optional<RecordResult> result;
};

struct RecordRunOptions {
  // It and `state` outlive the run.
  const FrontConfig& front;
  ServiceId service;
  ZoneId own_zone;
  TimePoint start;
  TimePoint deadline;
  Duration return_margin = kDefaultReturnMargin;
  FrontState& state;
  QueryHooks hooks;
};

class RecordRun {
 public:
  explicit RecordRun(RecordRunOptions options);

  // As those of QueryRun.
  RecordStep Start(TimePoint now);
  RecordStep OnReply(const AttemptId& attempt,
                     RecordReply reply,
                     TimePoint now);
  RecordStep OnFailure(const AttemptId& attempt,
                       const TargetAttemptFailure& failure,
                       TimePoint now);
  RecordStep OnTimer(TimePoint now);
  RecordStep Abandon(TimePoint now);
  std::optional<TimePoint> NextWake() const;

  bool finished() const { return this->is_finished; }
  const QueryRunStats& stats() const { return this->run_stats; }

 private:
  CallContext Context();
  // Refuses where nothing can come of it any more.
  void RefuseIfFailedOrLate(TimePoint now, RecordStep& step);
  QueryRefusal MakeRefusal(TimePoint now) const;

  RecordRunOptions options;
  TimePoint answer_by;
  ServiceCall call;
  bool is_finished = false;
  bool any_run = false;
  bool any_unknown = false;
  bool any_invalid_reply = false;
  QueryRunStats run_stats;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_RECORD_RUN_H_
