// Answers one caller's search by querying all services of a front in parallel.
//
//   QueryRun run({.front = front, .own_zone = zone, .request_id = "q-17",
//                 .start = now, .deadline = now + 500ms, .state = state,
//                 .hooks = hooks});
//   Perform(run.Start(now));
//   Perform(run.OnReply(attempt, reply, now));   // when a reply arrives
//   Perform(run.OnTimer(now));                   // at run.NextWake()
//
// QueryRun does no I/O: it returns the actions that its host performs. All hits
// of an answer come from one snapshot, which is pinned at the start. If a
// service can no longer serve that snapshot, the query may restart on a newer
// one, and then discards all replies received so far.

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
#include "knapweedroad/query/call_context.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/search_reply.h"
#include "knapweedroad/query/service_call.h"
#include "knapweedroad/query/snapshot_choice.h"
#include "knapweedroad/query/target_attempt_failure.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

struct QueryRunOptions {
  // The configuration for the whole run. `front` and `state` must outlive it.
  const FrontConfig& front;
  // The zone of this host.
  ZoneId own_zone;
  std::string request_id;
  // The maximum number of hits in the answer.
  uint32_t limit = 10;
  // When the caller's request arrived, and when the caller stops waiting.
  TimePoint start;
  TimePoint deadline;
  // How long before `deadline` the answer is sent; see AnswerBy().
  Duration return_margin = kDefaultReturnMargin;
  SnapshotPolicy snapshot_policy;
  FrontState& state;
  QueryHooks hooks;
};

class QueryRun {
 public:
  explicit QueryRun(QueryRunOptions options);

  // Starts the query; called once, before the other functions. Each function
  // returns the actions to perform, in order. FinishAnswer or FinishRefusal is
  // returned once, as the last action, unless Abandon() is called before. After
  // that, no actions are returned.
  QueryActions Start(TimePoint now);

  // Processes the reply to an attempt, or its failure. Ignores attempts that
  // are not in flight: ended, cancelled, from before a restart, or unknown.
  QueryActions OnReply(const AttemptId& attempt,
                       SearchReply reply,
                       TimePoint now);
  QueryActions OnFailure(const AttemptId& attempt,
                         const TargetAttemptFailure& failure,
                         TimePoint now);

  // Sends due hedges and retries, and finishes the query when its time is up.
  // To be called at NextWake(); earlier or later calls are safe.
  QueryActions OnTimer(TimePoint now);

  // Cancels all attempts and finishes without an answer. Called when the caller
  // has disconnected.
  QueryActions Abandon(TimePoint now);

  // Returns the time of the next call of OnTimer(), or nullopt once finished.
  std::optional<TimePoint> NextWake() const;

  bool finished() const { return this->is_finished; }
  const QueryRunStats& stats() const { return this->run_stats; }

 private:
  // The state of one service of the pinned snapshot's generation.
  struct ServiceProgress {
    ServiceCall call;
    // The service's index units in the manifest.
    uint32_t units = 0;
    // The units that the accepted reply covers, at most `units`.
    uint32_t units_answered = 0;
    std::vector<Hit> hits;
    // True once a target reported that it does not hold the pinned snapshot, or
    // replied from another one.
    bool snapshot_missing = false;
  };

  CallContext Context();
  CandidatesByService AllCandidates() const;
  void PinSnapshot(const SnapshotId& snapshot);
  void StartServices(TimePoint now, QueryActions& actions);

  // Restarts on a newer snapshot if that allows a better answer, else finishes
  // if waiting longer cannot help or the time is up.
  void FinishOrRestart(TimePoint now, QueryActions& actions);
  // Returns true if the policy is kTail, its target time has passed and the
  // minimum coverage is reached.
  bool CanFinishAtTailTarget(TimePoint now) const;
  // Returns true if the service failed, and either a target reported that it
  // does not hold the pinned snapshot or no usable target holds it.
  bool SnapshotUnavailable(const ServiceProgress& service) const;
  bool TryRestart(TimePoint now, QueryActions& actions);
  void CancelAll(TimePoint now, QueryActions& actions);
  void Finish(TimePoint now, QueryActions& actions);
  QueryAnswer MakeAnswer();
  QueryRefusal MakeRefusal(TimePoint now) const;
  void Refuse(QueryRefusal refusal, QueryActions& actions);

  Coverage AnsweredCoverage() const;
  // Returns the coverage if all pending services reply in full.
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
