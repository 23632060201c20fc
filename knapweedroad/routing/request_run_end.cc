// The part of RequestRun that decides how a run ends and when it wakes up.

#include <algorithm>
#include <utility>

#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {
namespace {

// Delay before a target is picked again for a service whose targets are all
// busy.
constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(4);
// The same once the answer is late. It is longer so that requests that can
// still be answered in time are sent first.
constexpr Duration kLateBusyRetryDelay = std::chrono::milliseconds(25);

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
  this->ended = true;
  step.end = std::move(end);
}

void RequestRun::EndWithSuccess(RunStep& step, std::string_view cause) {
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
                   .missing_parts = missing});
}

void RequestRun::EndWithoutSuccess(TimePoint now, RunStep& step) {
  for (Shard& shard : this->shards) {
    if (!this->options.is_scatter && shard.error_answer) {
      this->End(step, {.kind = RunEndKind::kAnswer,
                       .cause = "target_failed",
                       .answer = std::move(*shard.error_answer)});
      return;
    }
  }
  const bool is_condemned = std::ranges::any_of(
      this->shards, [](const Shard& shard) { return shard.is_condemned; });
  if (is_condemned) {
    this->End(step,
              {.kind = this->may_have_run_count == 0 ? RunEndKind::kNotRun
                                                     : RunEndKind::kFailed,
               .cause = kQueryOfDeath,
               .retry_after = this->options.condemned_retry_after});
    return;
  }
  if (this->may_have_run_count == 0) {
    const bool any_declined = std::ranges::any_of(
        this->shards, [](const Shard& shard) { return shard.was_declined; });
    const bool is_busy =
        any_declined ||
        std::ranges::any_of(this->shards, [](const Shard& shard) {
          return shard.waits_for_target;
        });
    this->End(step,
              {.kind = RunEndKind::kNotRun,
               .cause = is_busy ? "targets_busy" : "no_target",
               .retry_after = is_busy ? this->options.busy_retry_after
                                      : this->options.no_target_retry_after});
    return;
  }
  if (now >= this->options.deadline) {
    this->End(step, {.kind = RunEndKind::kExpired,
                     .cause = this->is_stopped ? "leaving" : "deadline"});
    return;
  }
  this->End(step, {.kind = RunEndKind::kFailed, .cause = "attempts_failed"});
}

bool RequestRun::EndIfDecided(TimePoint now, RunStep& step) {
  this->ReportLateParts(now);
  const size_t answered = this->answers.size();
  if (answered + this->pending_count < this->min_answers) {
    this->ResumeSkippedShards(now, step);
  }
  if (answered >= this->min_answers && this->pending_count == 0) {
    this->EndWithSuccess(
        step, answered == this->shards.size() ? "whole" : "rest_failed");
    return true;
  }
  if (answered >= this->min_answers && now >= this->options.latency_target_at) {
    this->EndWithSuccess(step, "rest_late");
    return true;
  }
  if (answered + this->pending_count < this->min_answers ||
      now >= this->options.deadline) {
    // The attempts started in this step are not sent.
    this->may_have_run_count -= step.starts.size();
    step.starts.clear();
    this->EndWithoutSuccess(now, step);
    return true;
  }
  return false;
}

TimePoint RequestRun::NextWake(TimePoint now) const {
  TimePoint wake = this->options.deadline;
  if (this->options.latency_target_at > now) {
    wake = std::min(wake, this->options.latency_target_at);
  }
  for (const Shard& shard : this->shards) {
    if (shard.state != ShardState::kPending) {
      continue;
    }
    if (shard.waits_for_target) {
      const bool is_late = now >= this->options.latency_target_at;
      const Duration retry_delay =
          is_late ? kLateBusyRetryDelay : kBusyRetryDelay;
      wake = std::min(wake, std::max(now + retry_delay, shard.retry_at));
    } else if (this->options.idempotent &&
               shard.attempt_count < this->options.max_attempts) {
      wake = std::min(wake, std::max(now, shard.hedge_at));
    }
  }
  return wake;
}

// An answer never makes the wake-up time earlier. The time is cached, so that a
// scatter doesn't search all of its shards at each answer.
RunStep RequestRun::FinishStep(RunStep step, TimePoint now) {
  if (this->EndIfDecided(now, step)) {
    step.starts.clear();
    return step;
  }
  if (!this->cached_wake_at || *this->cached_wake_at <= now ||
      !step.starts.empty()) {
    this->cached_wake_at = this->NextWake(now);
  }
  step.wake_at = this->cached_wake_at;
  return step;
}

}  // namespace knapweedroad
