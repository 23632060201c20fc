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
  size_t held = 0;
};

// How an attempt ended without an answer that can be used.
enum class AttemptEnd : uint8_t {
  kNeverSent,  // no byte of it reached the target
  kDeclined,   // the target says that it did not run it
  kBroken,     // it may have run
};

struct AttemptStart {
  uint32_t attempt = 0;
  size_t service = 0;  // index into RequestRunOptions::services
  TargetId target;
};

// Records of several answers, and TargetAnswer::held.
struct MergedBody {
  std::string records;
  size_t held = 0;
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
  size_t missing = 0;
  // With kNotRun: when another try is likely to be served.
  Duration retry_after{};
};

struct RunStep {
  std::vector<AttemptStart> start;
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
  TimePoint target_at;
  TimePoint deadline;
  // How long an attempt runs before a second one is sent beside it.
  Duration hedge_after{};
  // For kNotRun: when a slot is likely to be free, and when a service without
  // any usable target is likely to have one.
  Duration retry_when_busy{};
  Duration retry_when_down{};
};

// What a run asks of its host.
struct RunHooks {
  std::function<std::optional<TargetId>(const ServiceId& service,
                                        std::span<const TargetId> tried)>
      pick;
  // Whether the service has a target, none of `tried`, that may free up soon.
  std::function<bool(const ServiceId& service, std::span<const TargetId> tried)>
      is_served;
  // Whether one more attempt beyond the first may be sent; counts it.
  std::function<bool(const ServiceId& service, bool is_hedge)> spend_extra;
  // Shards that the request had better leave out, `most` at the most, as
  // indices into `services`; absent: none.
  std::function<std::vector<size_t>(size_t most)> leave_out;
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
  RunStep OnMerged(std::span<const MergedAnswer> merged,
                   MergedBody body,
                   TimePoint now);
  // Another answer that the target made for this request.
  RunStep OnFailure(uint32_t attempt, TargetAnswer answer, TimePoint now);
  RunStep OnEnd(uint32_t attempt, AttemptEnd end, TimePoint now);
  RunStep OnWake(TimePoint now);

  // The attempt's answer takes that much longer on its way than others.
  void DelayHedge(uint32_t attempt, Duration by);

  bool is_over() const { return this->over; }
  // Attempts sent so far, and how many of them beyond each service's first.
  size_t attempts() const { return this->attempt_shards.size(); }
  size_t extra_attempts() const { return this->extra; }

 private:
  enum class ShardState : uint8_t { kOpen, kAnswered, kHopeless, kLeftOut };

  struct Shard {
    ShardState state = ShardState::kOpen;
    std::vector<TargetId> tried;
    // Of those, the ones that nothing was sent to: they may be tried again.
    std::vector<TargetId> unreached;
    // Attempts that count against `max_attempts`, and those still out.
    size_t sent = 0;
    size_t out = 0;
    // Arrivals at a target, as far as known: the next one is extra.
    size_t arrived = 0;
    // Not before this is another attempt sent beside one that is out.
    TimePoint hedge_at;
    // While it waits: not before this is a target looked for again.
    TimePoint wait_until;
    // Between one look and the next, while targets turn connections away.
    Duration pause{};
    // A target's own failure, to pass on if nothing better comes.
    std::optional<TargetAnswer> failure;
    bool was_declined = false;
    bool is_waiting = false;
    bool hedge_refused = false;
    bool is_judged = false;
  };

  Shard* ShardOf(uint32_t attempt);
  // Whether merged answers may take the place of what their shards have: only
  // of answers that came alone.
  bool MayReplace(std::span<const MergedAnswer> merged) const;
  void DropAnswer(size_t shard_index);
  // Leaves out a shard whose targets all turned its connections away; they may
  // be tried again later. False: that isn't why it has no target left.
  bool SetAside(Shard& shard, TimePoint now);
  bool Begin(size_t index, bool is_hedge, TimePoint now, RunStep& step);
  void TryAgain(size_t index,
                bool is_proven_not_run,
                TimePoint now,
                RunStep& step);
  void Hedge(TimePoint now, RunStep& step);
  // Marks what Start() leaves out.
  void LeaveOut();
  // Asks what was left out after all, once the answer can't do without.
  void TakeIn(TimePoint now, RunStep& step);
  // Tells, once, whether the shard's part was in when the answer was due.
  void Judge(Shard& shard, bool in_time);
  void JudgeLate(TimePoint now);
  RunStep Finish(RunStep step, TimePoint now);
  bool Conclude(TimePoint now, RunStep& step);
  void EndWithParts(RunStep& step, std::string_view cause);
  void EndWithout(TimePoint now, RunStep& step);
  void End(RunStep& step, RunEnd end);
  void Enter(Shard& shard, ShardState next);
  // When a shard next needs something without an attempt's end.
  TimePoint NextWake(TimePoint now) const;

  RequestRunOptions options;
  const RunHooks& hooks;
  TimePoint started;
  std::vector<Shard> shards;
  // Shards in the state kOpen, and answers that make a success.
  size_t open = 0;
  size_t needed = 1;
  // The wake of the last step, while only answers have come since.
  std::optional<TimePoint> known_wake;
  std::vector<TargetAnswer> answers;
  // The shard of each, and whether its records are merged with others'.
  struct AnswerPlace {
    size_t shard = 0;
    bool is_merged = false;
  };
  std::vector<AnswerPlace> answer_places;
  // The shard of each attempt; `kEnded` once it has ended.
  std::vector<uint32_t> attempt_shards;
  std::vector<TargetId> attempt_targets;
  size_t extra = 0;
  // Attempts without a proof that they did not run.
  size_t unproven = 0;
  bool over = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_REQUEST_RUN_H_
