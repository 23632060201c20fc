// Runs one caller's read of one record, with hedges and retries.
//
//   RecordRun run({.front = front, .service = service, .own_zone = zone,
//                  .start = now, .deadline = now + 100ms, .state = state,
//                  .hooks = hooks});
//   Perform(run.Start(now));
//   Perform(run.OnReply(attempt, reply, now));   // when a reply arrives
//   Perform(run.OnTimer(now));                   // at run.NextWake()

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

// The result of a record read or a lookup: the reply of a target, or the error
// that replaces it.
using RecordResult = std::variant<RecordReply, QueryRefusal>;

// What the host does after one call of a run: it performs the actions in order,
// and then, if `result` is set, sends it to the caller. `result` is set at most
// once, in the run's last step.
struct RecordStep {
  // SendAttempt, with no snapshot, and CancelAttempt; no other actions.
  QueryActions actions;
  std::optional<RecordResult> result;
};

struct RecordRunOptions {
  // `front` and `state` must outlive the run.
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
  FrontState& state;
  QueryHooks hooks;
};

// Gets one record from the targets of a service. The read is idempotent, so
// several targets may run it at the same time. It does no I/O: its functions
// return the actions that the host performs.
class RecordRun {
 public:
  explicit RecordRun(RecordRunOptions options);

  // Starts the read; called once, before the other functions.
  RecordStep Start(TimePoint now);

  // Processes the reply to an attempt, or its failure. Ignores attempts that
  // are not in flight. The first reply is the result; the other attempts are
  // cancelled.
  RecordStep OnReply(const AttemptId& attempt,
                     RecordReply reply,
                     TimePoint now);
  RecordStep OnFailure(const AttemptId& attempt,
                       const TargetAttemptFailure& failure,
                       TimePoint now);

  // Sends due hedges and retries, and finishes with an error when the time is
  // up. To be called at NextWake(); earlier or later calls are safe.
  RecordStep OnTimer(TimePoint now);

  // Cancels all attempts and finishes without a result. Called when the caller
  // has disconnected.
  RecordStep Abandon(TimePoint now);

  // Returns the time of the next call of OnTimer(), or nullopt once finished.
  std::optional<TimePoint> NextWake() const;

  bool finished() const { return this->is_finished; }
  const QueryRunStats& stats() const { return this->run_stats; }

 private:
  CallContext Context();
  // Finishes with an error if the call has failed or the time is up.
  void RefuseIfFailedOrLate(TimePoint now, RecordStep& step);
  QueryRefusal MakeRefusal(TimePoint now) const;

  RecordRunOptions options;
  // When the result is sent at the latest; also the deadline of each attempt.
  TimePoint answer_by;
  ServiceCall call;
  bool is_finished = false;
  // Whether any attempt ran, may have run, or returned an invalid reply.
  bool any_run = false;
  bool any_unknown = false;
  bool any_invalid_reply = false;
  QueryRunStats run_stats;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_RECORD_RUN_H_
