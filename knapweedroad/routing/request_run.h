// The state machine of one caller's request, from its first attempts to its
// result: which attempts are sent, when one is retried or hedged, and how the
// request ends. It does no I/O: the owner sends what each step asks for and
// reports what happens.
//
//   RequestRun run({.services = {...}, .deadline = ...}, hooks);
//   Perform(run.Start(now));
//   Perform(run.OnAnswer(attempt, std::move(answer), now));
//   Perform(run.OnWake(now));  // at the `wake_at` of the last step
//
// A scatter asks several services, its shards, for one part of the answer each.
// A request to a single service is handled as a scatter with one shard whose
// answer is passed on unchanged.

#ifndef KNAPWEEDROAD_ROUTING_REQUEST_RUN_H_
#define KNAPWEEDROAD_ROUTING_REQUEST_RUN_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/send_permission.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// A complete answer of a target.
struct TargetAnswer {
  // The HTTP status code.
  int status = 0;
  // The token by which the target proves that this answer is its own; empty if
  // it sent none.
  std::string seal;
  // The header lines that are forwarded to the caller, unchanged.
  std::string header;
  std::string body;
  // Identifies, to the owner of the run, the records that a gathering host
  // left out of `body`; zero if it left out none.
  size_t withheld_id = 0;
};

// Why an attempt ended without a usable answer.
enum class AttemptFailure : uint8_t {
  kNotSent,     // no byte of the request was sent to the target
  kDeclined,    // the target reports that it did not run the request
  kMayHaveRun,  // the target may have run the request
};

// An attempt that the owner is to send now.
struct AttemptStart {
  // The attempt's number in the run, from zero. The owner reports the result
  // under it.
  uint32_t attempt = 0;
  size_t service_index = 0;  // index into RequestRunOptions::services
  TargetId target;
};

// The merged records of several answers; `withheld_id` as in TargetAnswer.
struct MergedBody {
  std::string records;
  size_t withheld_id = 0;
};

// One of several answers whose records are merged in one MergedBody.
struct MergedAnswer {
  uint32_t attempt = 0;
  std::string seal;
};

// How a run ended.
enum class RunEndKind : uint8_t {
  kAnswer,   // the answer of one target, success or error, to be passed on
  kParts,    // the answers of enough shards of a scatter, to be merged
  kNotRun,   // refused: no target has run the request or will run it
  kFailed,   // no further attempt is allowed; a target may have run the request
  kExpired,  // the deadline passed; a target may have run the request
};

// RunEnd::cause of a request that is condemned as a query of death.
inline constexpr std::string_view kQueryOfDeath = "query_of_death";

// Returns the kind's name in logs and metrics.
std::string_view ToString(RunEndKind kind);

// The result of a run.
struct RunEnd {
  RunEndKind kind = RunEndKind::kFailed;
  // The reason, as a word for logs.
  std::string_view cause;
  // Set with kAnswer.
  TargetAnswer answer;
  // Set with kParts: the answers of the shards that have answered, and the
  // number of shards that have not.
  std::vector<TargetAnswer> parts;
  size_t missing_parts = 0;
  // After how long the caller's next request is likely to succeed. Set with
  // kNotRun, and with kFailed if the request is condemned as a query of death.
  Duration retry_after{};
};

// What the owner of a run does next.
struct RunStep {
  // Attempts to send now.
  std::vector<AttemptStart> starts;
  // Set in one step only, the last one. The owner answers the caller and drops
  // the attempts that are still in flight.
  std::optional<RunEnd> end;
  // When to call OnWake(); replaces the time of the step before. Absent after
  // the end.
  std::optional<TimePoint> wake_at;
};

// What is asked, how often and until when.
struct RequestRunOptions {
  // The shards of a scatter, or the single service of another request.
  std::vector<ServiceId> services;
  bool is_scatter = false;
  // Whether a target may run the request again after another may have run it.
  bool idempotent = false;
  // Attempts for each service. One that was not sent doesn't count.
  size_t max_attempts = 1;
  // The smallest share of `services` (0 to 1) whose answers make a success; at
  // least one answer is needed.
  double min_share = 1;
  // From this time on the run ends as soon as the smallest share has answered.
  // Until then it waits for the other shards, too.
  TimePoint latency_target_at;
  // When the run ends in any case.
  TimePoint deadline;
  // How long an attempt is in flight before it is hedged: before another
  // target is asked as well.
  Duration hedge_delay{};
  // RunEnd::retry_after of a request that was not run: where targets are busy,
  // and where a service has no usable target.
  Duration busy_retry_after{};
  Duration no_target_retry_after{};
  // The same where the request is condemned as a query of death.
  Duration condemned_retry_after{};
};

// The decisions that a run leaves to its owner.
struct RunHooks {
  // Chooses a target for an attempt, none of `tried`; absent if no target can
  // take one now.
  std::function<std::optional<TargetId>(const ServiceId& service,
                                        std::span<const TargetId> tried)>
      pick_target;
  // Returns whether the service has a target, none of `tried`, that can take
  // an attempt now or once one that it runs has ended.
  std::function<bool(const ServiceId& service, std::span<const TargetId> tried)>
      has_untried_target;
  // Returns whether one more attempt beyond the service's first may be sent. If
  // so, counts it as sent. `is_hedge`: sent beside an attempt in flight before
  // `latency_target_at`; all others are retries.
  std::function<bool(const ServiceId& service, bool is_hedge)>
      spend_extra_attempt;
  // Returns whether one more attempt may be sent to the service, see
  // QueryOfDeathDetector. `unsent` attempts of the run were started in the same
  // step. If unset, all may be sent.
  std::function<SendPermission(const ServiceId& service, size_t unsent)>
      check_send;
  // Chooses at most `max_shards` shards that the request doesn't ask at first,
  // because they are overloaded: indices into `services`. If unset, all are
  // asked.
  std::function<std::vector<size_t>(size_t max_shards)> choose_shards_to_skip;
  // Called at most once for each service: with true when it answers by
  // `latency_target_at`, with false when it answers later or hasn't answered
  // by then. Not called for a service that is skipped or has failed by then.
  // May be unset.
  std::function<void(const ServiceId& service, bool in_time)> on_part;
};

// Guarantees that a request that isn't idempotent is sent again only after
// proof that no target has run it, and that a run ends as kNotRun only with
// that proof for every attempt. Results of attempts that ended before, and all
// results after the end, are ignored.
class RequestRun {
 public:
  // `hooks` must outlive the run.
  RequestRun(RequestRunOptions options, const RunHooks& hooks);

  // Returns the first attempts, or the end if too few services have a target.
  // Called once, before all else.
  RunStep Start(TimePoint now);
  // Handles a complete, sealed 2xx answer.
  RunStep OnAnswer(uint32_t attempt, TargetAnswer answer, TimePoint now);
  // Handles 2xx answers of several attempts whose records are merged in one
  // body, so that either all or none of them are part of the caller's answer.
  // They replace single answers of the same shards. They are dropped, and their
  // shards asked again where that is allowed, if one of the shards already has
  // a merged answer, if each of the shards has an answer, or if an attempt
  // among them has ended.
  RunStep OnMergedAnswers(std::span<const MergedAnswer> merged,
                          MergedBody body,
                          TimePoint now);
  // Handles any other answer that the target made for this request.
  RunStep OnErrorAnswer(uint32_t attempt, TargetAnswer answer, TimePoint now);
  // Handles the end of an attempt without a usable answer.
  RunStep OnAttemptFailed(uint32_t attempt,
                          AttemptFailure failure,
                          TimePoint now);
  // Sends hedges and other attempts that are due, and ends the run at its
  // deadline. May be called early.
  RunStep OnWake(TimePoint now);
  // Ends the run now, as at its deadline: the process is about to end.
  RunStep OnStop(TimePoint now);

  // Postpones the hedge of an attempt whose answer takes `delay` longer than
  // others to arrive. Called before the next step.
  void DelayHedge(uint32_t attempt, Duration delay);
  // Makes the hedge of an attempt due now, because its answer is known to be
  // late. It is sent by the next call of OnWake().
  void ExpediteHedge(uint32_t attempt, TimePoint now);

  bool has_ended() const { return this->ended; }
  // The number of attempts so far, and of those among them that
  // `spend_extra_attempt` allowed.
  size_t attempt_count() const { return this->attempt_shards.size(); }
  size_t extra_attempt_count() const { return this->extra_count; }

 private:
  // kFailed: no further attempt is made. kSkipped: asked only if the others
  // can't make a success.
  enum class ShardState : uint8_t { kPending, kAnswered, kFailed, kSkipped };

  enum class StartResult : uint8_t {
    kStarted,
    kNoTarget,    // no target can take an attempt now
    kOverBudget,  // an extra attempt isn't allowed
    kHeld,        // not until attempts of the same request have ended
    kRefused,     // the request is condemned
  };

  struct Shard {
    ShardState state = ShardState::kPending;
    // Targets that are not picked again.
    std::vector<TargetId> tried;
    // Those of `tried` that nothing could be sent to.
    std::vector<TargetId> unreached;
    // Attempts that count against `max_attempts`, and those in flight.
    size_t attempt_count = 0;
    size_t in_flight = 0;
    // Attempts that may have reached a target. If there are any, the next one
    // counts as extra.
    size_t delivered = 0;
    // The earliest time of the next hedge.
    TimePoint hedge_at;
    // While no attempt is in flight: the earliest time to pick a target again.
    TimePoint retry_at;
    // The delay before that while targets reject connections.
    Duration retry_delay{};
    // A target's error answer, passed on if no other target answers.
    std::optional<TargetAnswer> error_answer;
    // Whether the last failure was kDeclined.
    bool was_declined = false;
    // Whether the shard is pending without an attempt in flight.
    bool waits_for_target = false;
    // Whether the last extra attempt was not allowed.
    bool extra_attempt_refused = false;
    bool is_part_reported = false;
    // Whether the last attempt was held back, or refused, as that of a query of
    // death.
    bool is_held = false;
    bool is_condemned = false;
  };

  // Marks the attempt as ended and returns its shard; null if the attempt is
  // unknown or had ended before.
  Shard* EndAttempt(uint32_t attempt);
  // Whether merged answers can be taken in place of what their shards have.
  bool CanReplaceAnswers(std::span<const MergedAnswer> merged) const;
  void RemoveAnswer(size_t shard_index);
  // Skips a shard that has no target left because connections to its targets
  // failed, and lets them be tried again. Returns false if there is no such
  // target, an attempt may have reached a target, or the request has waited too
  // long.
  bool SkipUnreachedShard(Shard& shard, TimePoint now);
  StartResult StartAttempt(size_t index,
                           bool is_hedge,
                           TimePoint now,
                           RunStep& step);
  // Whether an attempt may be sent as far as the detector of queries of death
  // is concerned.
  SendPermission CheckSend(size_t index, const RunStep& step);
  // Starts an attempt of a shard without one. If that isn't possible now, lets
  // the shard wait, or fails it if it can't be possible later.
  void StartOrWait(size_t index, TimePoint now, RunStep& step);
  // Starts attempts that were held back until a target has answered.
  void StartHeldAttempts(TimePoint now, RunStep& step);
  // Sends another attempt after a failure, or waits, skips or fails the shard.
  void Retry(size_t index,
             bool is_proven_not_run,
             TimePoint now,
             RunStep& step);
  // Sends hedges that are due, and attempts of shards that wait for a target.
  void StartDueAttempts(TimePoint now, RunStep& step);
  // Marks the shards that Start() doesn't ask.
  void SkipOverloadedShards();
  // Asks skipped shards once the others can't make a success.
  void ResumeSkippedShards(TimePoint now, RunStep& step);
  // Calls the on_part hook, at most once for each shard.
  void ReportPart(Shard& shard, bool in_time);
  void ReportLateParts(TimePoint now);
  // Sets the step's end or its wake-up time.
  RunStep FinishStep(RunStep step, TimePoint now);
  // Returns whether the run has ended.
  bool EndIfDecided(TimePoint now, RunStep& step);
  void EndWithSuccess(RunStep& step, std::string_view cause);
  void EndWithoutSuccess(TimePoint now, RunStep& step);
  void End(RunStep& step, RunEnd end);
  void SetState(Shard& shard, ShardState next);
  // When the run next has something to do if no attempt ends before.
  TimePoint NextWake(TimePoint now) const;

  RequestRunOptions options;
  const RunHooks& hooks;
  TimePoint started_at;
  std::vector<Shard> shards;
  // Shards in the state kPending, and answers that make a success.
  size_t pending_count = 0;
  size_t min_answers = 1;
  // The last wake-up time, reset by all events but answers.
  std::optional<TimePoint> cached_wake_at;
  std::vector<TargetAnswer> answers;
  // The shard of each of `answers`, and whether its records are merged with
  // those of other shards.
  struct AnswerSource {
    size_t shard_index = 0;
    bool is_merged = false;
  };
  std::vector<AnswerSource> answer_sources;
  // The shard of each attempt; kEndedAttempt once the attempt has ended.
  std::vector<uint32_t> attempt_shards;
  std::vector<TargetId> attempt_targets;
  // Attempts that `spend_extra_attempt` allowed.
  size_t extra_count = 0;
  // Attempts without proof that no target has run them.
  size_t may_have_run_count = 0;
  // Whether an attempt was held back since StartHeldAttempts().
  bool has_held_attempts = false;
  bool is_stopped = false;
  bool ended = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_REQUEST_RUN_H_
