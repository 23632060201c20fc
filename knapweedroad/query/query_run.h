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
// which is pinned at the start; a restart on a newer one begins from nothing.

#ifndef KNAPWEEDROAD_QUERY_QUERY_RUN_H_
#define KNAPWEEDROAD_QUERY_QUERY_RUN_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/query_action.h"
#include "knapweedroad/query/query_part.h"
#include "knapweedroad/query/snapshot_choice.h"
#include "knapweedroad/query/sub_failure.h"
#include "knapweedroad/query/sub_reply.h"
#include "knapweedroad/target/attempt_id.h"
#include "knapweedroad/target/target_candidate.h"

namespace knapweedroad {

struct FrontState;

struct QueryHooks {
  // The targets of a service as they are known now, usable or not.
  std::function<std::vector<TargetCandidate>(const ServiceId&)> candidates;
  // A name that no attempt of any host has had.
  std::function<AttemptId()> next_attempt_id;
  // Uniform over all 64-bit numbers.
  std::function<uint64_t()> random;
};

// The answer has left this host that long before the deadline, so that the way
// back to the caller fits in.
inline constexpr Duration kDefaultReturnMargin = std::chrono::milliseconds(10);

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
  // At most a quarter of the time from start to deadline is used for it.
  Duration return_margin = kDefaultReturnMargin;
  SnapshotRule snapshot_rule;
  FrontState& state;
  QueryHooks hooks;
};

// Extra work of one query, for metrics.
struct QueryRunStats {
  uint32_t first_tries = 0;
  uint32_t hedges = 0;
  uint32_t retries = 0;
  uint32_t restarts = 0;
  // Attempts whose answer was of another snapshot than the one asked for.
  uint32_t wrong_snapshots = 0;
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
  QueryActions OnReply(const AttemptId& attempt, SubReply reply, TimePoint now);
  QueryActions OnFailure(const AttemptId& attempt,
                         const SubFailure& failure,
                         TimePoint now);

  // To be called at NextWake(); earlier or later does no harm.
  QueryActions OnTimer(TimePoint now);

  // The caller has left: cancels what runs, and finishes without an answer.
  QueryActions Abandon(TimePoint now);

  std::optional<TimePoint> NextWake() const;

  bool finished() const { return this->is_finished; }
  const QueryRunStats& stats() const { return this->run_stats; }

 private:
  struct Found {
    QueryPart* part = nullptr;
    QueryAttempt attempt;
  };

  CandidatesByService AllCandidates() const;
  void Pin(const SnapshotId& snapshot);
  void SendAll(TimePoint now, QueryActions& actions);
  // Takes the attempt out of its part's live ones.
  Found TakeAttempt(const AttemptId& attempt);

  bool TrySend(QueryPart& part,
               AttemptPurpose purpose,
               TimePoint now,
               QueryActions& actions);
  void PlanHedge(QueryPart& part, TimePoint now);
  void TryHedge(QueryPart& part, TimePoint now, QueryActions& actions);
  void OnPartFailed(QueryPart& part,
                    const SubFailure& failure,
                    TimePoint now,
                    QueryActions& actions);
  void TryRetry(QueryPart& part, TimePoint now, QueryActions& actions);
  void WaitOrGiveUp(QueryPart& part, TimePoint now);
  void CancelLive(QueryPart& part, TimePoint now, QueryActions& actions);

  // Finishes, or restarts on a newer snapshot, if it is time to.
  void Settle(TimePoint now, QueryActions& actions);
  bool TryRestart(TimePoint now, QueryActions& actions);
  void Finish(TimePoint now, QueryActions& actions);
  QueryAnswer MakeAnswer();
  QueryRefusal MakeRefusal(TimePoint now) const;
  void Refuse(QueryRefusal refusal, QueryActions& actions);

  Coverage Answered() const;
  // What would be answered if all that is open were.
  Coverage Possible() const;
  bool AnyOpen() const;
  // When the answer leaves at the latest.
  TimePoint AnswerBy() const;
  // How long a sub-request to this service takes, in the median.
  Duration TypicalLatency(const ServiceId& service) const;
  const ServiceConfig& ServiceOf(const ServiceId& service) const;
  void NoteOutcome(RunOutcome outcome);

  QueryRunOptions options;
  SnapshotId pinned;
  std::vector<QueryPart> parts;
  bool is_finished = false;
  bool any_run = false;
  bool any_unknown = false;
  QueryRunStats run_stats;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_RUN_H_
