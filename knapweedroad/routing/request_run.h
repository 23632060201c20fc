// One caller's request, from its route to its final answer: which attempts are
// sent, when another one is worth it, and what the end is.
//
//   RequestRun run({.route = route, .services = {...}, .deadline = ...},
//   hooks); Do(run.Start(now)); Do(run.OnAnswer(attempt, std::move(answer),
//   now)); Do(run.OnWake(now));            // when `wake_at` has come
//
// A request to one service is a scatter over one service whose answer is
// passed on as it is.

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
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// What a target answered, whole.
struct TargetAnswer {
  int status = 0;
  // Proof that this target made this answer; empty: none.
  std::string seal;
  // The header lines that go to the caller, as they came.
  std::string header;
  std::string body;
  // Of merged records: names what was held back of `body`; zero: nothing.
  size_t withheld_id = 0;
};

// How an attempt ended without an answer that can be used.
enum class AttemptFailure : uint8_t {
  kNotSent,     // no byte of it reached the target
  kDeclined,    // the target says that it did not run it
  kMayHaveRun,  // it may have run
};

struct AttemptStart {
  uint32_t attempt = 0;
  size_t service_index = 0;  // index into RequestRunOptions::services
  TargetId target;
};

// Records of several answers, and TargetAnswer::held.
struct MergedBody {
  std::string records;
  size_t withheld_id = 0;
};

// One of several answers with merged records.
struct MergedAnswer {
  uint32_t attempt = 0;
  std::string seal;
};

enum class RunEndKind : uint8_t {
  kAnswer,   // one target's answer, passed on
  kParts,    // a merged answer of several services
  kNotRun,   // refused: no attempt has run or will run
  kFailed,   // given up; some attempt may have run
  kExpired,  // the deadline came first; some attempt may have run
};

std::string_view ToString(RunEndKind kind);

struct RunEnd {
  RunEndKind kind = RunEndKind::kFailed;
  // Why, for logs; a plain word.
  std::string_view cause;
  // With kAnswer.
  TargetAnswer answer;
  // With kParts: one for each service that is in.
  std::vector<TargetAnswer> parts;
  size_t missing_parts = 0;
  // With kNotRun: when another try is likely to be served.
  Duration retry_after{};
};

struct RunStep {
  std::vector<AttemptStart> starts;
  // Set once; nothing follows it but abandoned attempts.
  std::optional<RunEnd> end;
  // Call OnWake() then; absent after the end.
  std::optional<TimePoint> wake_at;
};

struct RequestRunOptions {
  std::vector<ServiceId> services;
  bool is_scatter = false;
  bool idempotent = false;
  size_t max_attempts = 1;
  double min_share = 1;
  // When the caller's best worth ends, and when it stops waiting.
  TimePoint latency_target_at;
  TimePoint deadline;
  // How long an attempt runs before a second one is sent beside it.
  Duration hedge_delay{};
  // For kNotRun: when a slot is likely to be free, and when a service without
  // any usable target is likely to have one.
  Duration busy_retry_after{};
  Duration no_target_retry_after{};
};

// What a run asks of its host.
struct RunHooks {
  std::function<std::optional<TargetId>(const ServiceId& service,
                                        std::span<const TargetId> tried)>
      pick_target;
  // Whether the service has a target, none of `tried`, that may free up soon.
  std::function<bool(const ServiceId& service, std::span<const TargetId> tried)>
      has_untried_target;
  // Whether one more attempt beyond the first may be sent; counts it.
  std::function<bool(const ServiceId& service, bool is_hedge)>
      spend_extra_attempt;
  // Shards that the request had better leave out, `most` at the most, as
  // indices into `services`; absent: none.
  std::function<std::vector<size_t>(size_t max_shards)> choose_shards_to_skip;
  // Told of each service asked, once: whether its part was in when the answer
  // was due. May be absent.
  std::function<void(const ServiceId& service, bool in_time)> on_part;
};

class RequestRun {
 public:
  // `hooks` outlives the run.
  RequestRun(RequestRunOptions options, const RunHooks& hooks);

  RunStep Start(TimePoint now);
  // A 2xx answer with its seal, whole.
  RunStep OnAnswer(uint32_t attempt, TargetAnswer answer, TimePoint now);
  // Answers of several attempts whose records come merged in one body, so that
  // they are in the caller's answer all together or not at all. Of a shard that
  // another attempt has answered alone, this answer is the one that counts; if
  // it was answered together with others, these are not taken.
  RunStep OnMergedAnswers(std::span<const MergedAnswer> merged,
                          MergedBody body,
                          TimePoint now);
  // Another answer that the target made for this request.
  RunStep OnErrorAnswer(uint32_t attempt, TargetAnswer answer, TimePoint now);
  RunStep OnAttemptFailed(uint32_t attempt,
                          AttemptFailure failure,
                          TimePoint now);
  RunStep OnWake(TimePoint now);

  // The attempt's answer takes that much longer on its way than others.
  void DelayHedge(uint32_t attempt, Duration delay);

  bool has_ended() const { return this->ended; }
  // Attempts sent so far, and how many of them beyond each service's first.
  size_t attempt_count() const { return this->attempt_shards.size(); }
  size_t extra_attempt_count() const { return this->extra_count; }

 private:
  enum class ShardState : uint8_t { kPending, kAnswered, kFailed, kSkipped };

  struct Shard {
    ShardState state = ShardState::kPending;
    std::vector<TargetId> tried;
    // Of those, the ones that nothing was sent to: they may be tried again.
    std::vector<TargetId> unreached;
    // Attempts that count against `max_attempts`, and those still out.
    size_t attempt_count = 0;
    size_t in_flight = 0;
    // Arrivals at a target, as far as known: the next one is extra.
    size_t delivered = 0;
    // Not before this is another attempt sent beside one that is out.
    TimePoint hedge_at;
    // While it waits: not before this is a target looked for again.
    TimePoint retry_at;
    // Between one look and the next, while targets turn connections away.
    Duration retry_delay{};
    // A target's own failure, to pass on if nothing better comes.
    std::optional<TargetAnswer> error_answer;
    bool was_declined = false;
    bool waits_for_target = false;
    bool extra_attempt_refused = false;
    bool is_part_reported = false;
  };

  Shard* EndAttempt(uint32_t attempt);
  // Whether merged answers may take the place of what their shards have: only
  // of answers that came alone.
  bool CanReplaceAnswers(std::span<const MergedAnswer> merged) const;
  void RemoveAnswer(size_t shard_index);
  // Leaves out a shard whose targets all turned its connections away; they may
  // be tried again later. False: that isn't why it has no target left.
  bool SkipUnreachedShard(Shard& shard, TimePoint now);
  bool StartAttempt(size_t index, bool is_hedge, TimePoint now, RunStep& step);
  void Retry(size_t index,
             bool is_proven_not_run,
             TimePoint now,
             RunStep& step);
  void StartDueAttempts(TimePoint now, RunStep& step);
  // Marks what Start() leaves out.
  void SkipOverloadedShards();
  // Asks what was left out after all, once the answer can't do without.
  void ResumeSkippedShards(TimePoint now, RunStep& step);
  // Tells, once, whether the shard's part was in when the answer was due.
  void ReportPart(Shard& shard, bool in_time);
  void ReportLateParts(TimePoint now);
  RunStep FinishStep(RunStep step, TimePoint now);
  bool EndIfDecided(TimePoint now, RunStep& step);
  void EndWithSuccess(RunStep& step, std::string_view cause);
  void EndWithoutSuccess(TimePoint now, RunStep& step);
  void End(RunStep& step, RunEnd end);
  void SetState(Shard& shard, ShardState next);
  // When a shard next needs something without an attempt's end.
  TimePoint NextWake(TimePoint now) const;

  RequestRunOptions options;
  const RunHooks& hooks;
  TimePoint started_at;
  std::vector<Shard> shards;
  // Shards in the state kOpen, and answers that make a success.
  size_t pending_count = 0;
  size_t min_answers = 1;
  // The wake of the last step, while only answers have come since.
  std::optional<TimePoint> cached_wake_at;
  std::vector<TargetAnswer> answers;
  // The shard of each, and whether its records are merged with others'.
  struct AnswerSource {
    size_t shard_index = 0;
    bool is_merged = false;
  };
  std::vector<AnswerSource> answer_sources;
  // The shard of each attempt; `kEnded` once it has ended.
  std::vector<uint32_t> attempt_shards;
  std::vector<TargetId> attempt_targets;
  size_t extra_count = 0;
  // Attempts without a proof that they did not run.
  size_t may_have_run_count = 0;
  bool ended = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_REQUEST_RUN_H_
