// One caller's scatter query, from its start to its one answer.
//
//   QueryRun run({.front = front, .own_zone = zone, .request_id = "q-17",
//                 .start = now, .deadline = now + 500ms, .state = state,
//                 .hooks = hooks});
//   Do(run.Start(now));              // performs the actions
//   Do(run.OnReply(attempt, reply, now));
//   while (auto wake = run.NextWake()) ...Do(run.OnTimer(now));
//
// It decides and does no I/O. All of an answer's hits are of one snapshot,
// which is pinned at the start; a restart on a newer one begins from
// nothing.

#ifndef KNAPWEEDROAD_QUERY_QUERY_RUN_H_
#define KNAPWEEDROAD_QUERY_QUERY_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/attempt_failure.h"
#include "knapweedroad/query/call_context.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/search_reply.h"
#include "knapweedroad/query/service_call.h"
#include "knapweedroad/query/snapshot_choice.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

struct QueryRunOptions {
  // It and `state` outlive the run; the run never sees another configuration.
  const FrontConfig& front;
  ZoneId own_zone;
  std::string request_id;
  // Hits wanted.
  uint32_t limit = 10;
  // When the caller's request came in, and when it stops waiting.
  TimePoint start;
  TimePoint deadline;
  Duration return_margin = kDefaultReturnMargin;
  SnapshotPolicy snapshot_policy;
  FrontState& state;
  QueryHooks hooks;
};

class QueryRun {
 public:
  explicit QueryRun(QueryRunOptions options);

  // Called once. Each of the functions that follow returns what is to be done,
  // in order. FinishAnswer or FinishRefusal comes once and last; from then on
  // nothing is returned.
  QueryActions Start(TimePoint now);

  // An attempt that isn't awaited (cancelled, of an earlier restart, unknown)
  // is ignored.
  QueryActions OnReply(const AttemptId& attempt,
                       SearchReply reply,
                       TimePoint now);
  QueryActions OnFailure(const AttemptId& attempt,
                         const AttemptFailure& failure,
                         TimePoint now);

  // To be called at NextWake(); earlier or later does no harm.
  QueryActions OnTimer(TimePoint now);

  // The caller has left: cancels what runs, and finishes without an answer.
  QueryActions Abandon(TimePoint now);

  std::optional<TimePoint> NextWake() const;

  bool finished() const { return this->is_finished; }
  const QueryRunStats& stats() const { return this->run_stats; }

 private:
  // One service of the pinned generation.
  struct ServiceProgress {
    ServiceCall call;
    // From the manifest.
    uint32_t units = 0;
    // Of the answer; at most `units`.
    uint32_t units_answered = 0;
    std::vector<Hit> hits;
    // A target said that it doesn't hold the pinned snapshot.
    bool snapshot_missing = false;
  };

  CallContext Context();
  CandidatesByService AllCandidates() const;
  void PinSnapshot(const SnapshotId& snapshot);
  void StartServices(TimePoint now, QueryActions& actions);

  // Finishes, or restarts on a newer snapshot, if it is time to.
  void FinishOrRestart(TimePoint now, QueryActions& actions);
  bool CanFinishAtTailTarget(TimePoint now) const;
  // It can't be answered any more from the pinned snapshot.
  bool SnapshotUnavailable(const ServiceProgress& service) const;
  bool TryRestart(TimePoint now, QueryActions& actions);
  void CancelAll(TimePoint now, QueryActions& actions);
  void Finish(TimePoint now, QueryActions& actions);
  QueryAnswer MakeAnswer();
  QueryRefusal MakeRefusal(TimePoint now) const;
  void Refuse(QueryRefusal refusal, QueryActions& actions);

  Coverage AnsweredCoverage() const;
  // What would be answered if all that is open were.
  Coverage ReachableCoverage() const;
  bool AnyPending() const;
  void RecordOutcome(RunOutcome outcome);

  QueryRunOptions options;
  TimePoint answer_by;
  SnapshotId pinned_snapshot;
  std::vector<ServiceProgress> services;
  bool is_finished = false;
  bool any_run = false;
  bool any_unknown = false;
  QueryRunStats run_stats;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_RUN_H_
