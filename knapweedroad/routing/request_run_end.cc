// How a run ends, and when it looks again until then.

#include <algorithm>
#include <utility>

#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {
namespace {

// How often a service whose targets are all busy here is asked again.
constexpr Duration kBusyRetry = std::chrono::milliseconds(4);
// The same as kBusyRetry once the answer is late: those that may still be in
// time go first.
constexpr Duration kLateBusyRetry = std::chrono::milliseconds(25);

}  // namespace

std::string_view ToString(RunEndKind kind) {
  switch (kind) {
    case RunEndKind::kAnswer:
      return "answered";
    case RunEndKind::kParts:
      return "gathered";
    case RunEndKind::kNotRun:
      return "not_run";
    case RunEndKind::kFailed:
      return "failed";
    case RunEndKind::kExpired:
      return "expired";
  }
  return "unknown";
}

void RequestRun::End(RunStep& step, RunEnd end) {
  this->over = true;
  step.end = std::move(end);
}

void RequestRun::EndWithParts(RunStep& step, std::string_view cause) {
  const size_t missing = this->shards.size() - this->answers.size();
  if (!this->options.is_scatter) {
    this->End(step, {.kind = RunEndKind::kAnswer,
                     .cause = cause,
                     .answer = std::move(this->answers.front())});
    return;
  }
  this->End(step, {.kind = RunEndKind::kParts,
                   .cause = cause,
                   .parts = std::move(this->answers),
                   .missing = missing});
}

void RequestRun::EndWithout(TimePoint now, RunStep& step) {
  for (Shard& shard : this->shards) {
    if (!this->options.is_scatter && shard.failure) {
      this->End(step, {.kind = RunEndKind::kAnswer,
                       .cause = "target_failed",
                       .answer = std::move(*shard.failure)});
      return;
    }
  }
  if (this->unproven == 0) {
    const bool any_declined = std::ranges::any_of(
        this->shards, [](const Shard& shard) { return shard.was_declined; });
    const bool is_busy =
        any_declined ||
        std::ranges::any_of(
            this->shards, [](const Shard& shard) { return shard.is_waiting; });
    this->End(step, {.kind = RunEndKind::kNotRun,
                     .cause = is_busy ? "targets_busy" : "no_target",
                     .retry_after = is_busy ? this->options.retry_when_busy
                                            : this->options.retry_when_down});
    return;
  }
  if (now >= this->options.deadline) {
    this->End(step, {.kind = RunEndKind::kExpired, .cause = "deadline"});
    return;
  }
  this->End(step, {.kind = RunEndKind::kFailed, .cause = "attempts_failed"});
}

// Whether the request is at its end.
bool RequestRun::Conclude(TimePoint now, RunStep& step) {
  this->JudgeLate(now);
  const size_t answered = this->answers.size();
  if (answered + this->open < this->needed) {
    this->TakeIn(now, step);
  }
  if (answered >= this->needed && this->open == 0) {
    this->EndWithParts(
        step, answered == this->shards.size() ? "whole" : "rest_failed");
    return true;
  }
  if (answered >= this->needed && now >= this->options.target_at) {
    this->EndWithParts(step, "rest_late");
    return true;
  }
  if (answered + this->open < this->needed || now >= this->options.deadline) {
    // What was begun in this very step isn't sent any more.
    this->unproven -= step.start.size();
    step.start.clear();
    this->EndWithout(now, step);
    return true;
  }
  return false;
}

TimePoint RequestRun::NextWake(TimePoint now) const {
  TimePoint wake = this->options.deadline;
  if (this->options.target_at > now) {
    wake = std::min(wake, this->options.target_at);
  }
  for (const Shard& shard : this->shards) {
    if (shard.state != ShardState::kOpen) {
      continue;
    }
    if (shard.is_waiting) {
      const bool is_late = now >= this->options.target_at;
      const Duration pause = is_late ? kLateBusyRetry : kBusyRetry;
      wake = std::min(wake, std::max(now + pause, shard.wait_until));
    } else if (this->options.idempotent &&
               shard.sent < this->options.max_attempts) {
      wake = std::min(wake, std::max(now, shard.hedge_at));
    }
  }
  return wake;
}

// An answer alone makes no wake earlier, so a scatter over many shards doesn't
// look at all of them for each one.
RunStep RequestRun::Finish(RunStep step, TimePoint now) {
  if (this->Conclude(now, step)) {
    step.start.clear();
    return step;
  }
  if (!this->known_wake || *this->known_wake <= now || !step.start.empty()) {
    this->known_wake = this->NextWake(now);
  }
  step.wake_at = this->known_wake;
  return step;
}

}  // namespace knapweedroad
