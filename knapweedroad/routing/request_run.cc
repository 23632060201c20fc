#include "knapweedroad/routing/request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

// Stands for the shard of an attempt that has ended.
constexpr uint32_t kEndedAttempt = UINT32_MAX;

size_t MinAnswers(size_t shards, double min_share) {
  const double min_parts = min_share * static_cast<double>(shards);
  // Compensates for rounding of the decimal share: 0.9 of 10 is 9, not
  // 9.000000001.
  const auto smallest_count = static_cast<size_t>(std::ceil(min_parts - 1e-9));
  return std::max<size_t>(smallest_count, 1);
}

}  // namespace

RequestRun::RequestRun(RequestRunOptions options, const RunHooks& hooks)
    : options(std::move(options)),
      hooks(hooks),
      shards(this->options.services.size()),
      pending_count(this->shards.size()),
      min_answers(MinAnswers(this->shards.size(), this->options.min_share)) {}

void RequestRun::SetState(Shard& shard, ShardState next) {
  this->pending_count -= shard.state == ShardState::kPending ? 1 : 0;
  this->pending_count += next == ShardState::kPending ? 1 : 0;
  shard.state = next;
}

RequestRun::Shard* RequestRun::EndAttempt(uint32_t attempt) {
  if (attempt >= this->attempt_shards.size() ||
      this->attempt_shards[attempt] == kEndedAttempt) {
    return nullptr;
  }
  Shard* const shard = &this->shards[this->attempt_shards[attempt]];
  this->attempt_shards[attempt] = kEndedAttempt;
  --shard->in_flight;
  return shard;
}

void RequestRun::SkipOverloadedShards() {
  if (!this->options.is_scatter || !this->hooks.choose_shards_to_skip) {
    return;
  }
  for (const size_t index : this->hooks.choose_shards_to_skip(
           this->shards.size() - this->min_answers)) {
    this->SetState(this->shards[index], ShardState::kSkipped);
  }
}

void RequestRun::ResumeSkippedShards(TimePoint now, RunStep& step) {
  this->cached_wake_at.reset();
  for (size_t i = 0; i < this->shards.size(); ++i) {
    Shard& shard = this->shards[i];
    if (shard.state != ShardState::kSkipped) {
      continue;
    }
    if (!this->hooks.has_untried_target(this->options.services[i],
                                        shard.tried)) {
      this->SetState(shard, ShardState::kFailed);
      continue;
    }
    this->SetState(shard, ShardState::kPending);
    shard.waits_for_target = true;
    if (now >= shard.retry_at) {
      this->StartOrWait(i, now, step);
    }
  }
}

void RequestRun::ReportPart(Shard& shard, bool in_time) {
  if (!std::exchange(shard.is_part_reported, true) && this->hooks.on_part) {
    const auto index = static_cast<size_t>(&shard - this->shards.data());
    this->hooks.on_part(this->options.services[index], in_time);
  }
}

void RequestRun::ReportLateParts(TimePoint now) {
  if (now < this->options.latency_target_at) {
    return;
  }
  for (Shard& shard : this->shards) {
    if (shard.state == ShardState::kPending) {
      this->ReportPart(shard, /*in_time=*/false);
    }
  }
}

RunStep RequestRun::Start(TimePoint now) {
  RunStep step;
  this->started_at = now;
  this->SkipOverloadedShards();
  size_t services_with_target = 0;
  for (const ServiceId& service : this->options.services) {
    services_with_target += this->hooks.has_untried_target(service, {}) ? 1 : 0;
  }
  for (size_t i = 0; i < this->shards.size(); ++i) {
    // With too few services that have a target the request can't succeed.
    // Nothing is sent, and the caller is refused at once.
    if (services_with_target < this->min_answers && this->options.is_scatter) {
      this->SetState(this->shards[i], ShardState::kFailed);
      continue;
    }
    if (this->shards[i].state == ShardState::kSkipped) {
      continue;
    }
    this->StartOrWait(i, now, step);
  }
  return this->FinishStep(std::move(step), now);
}

RunStep RequestRun::OnAnswer(uint32_t attempt,
                             TargetAnswer answer,
                             TimePoint now) {
  RunStep step;
  if (this->ended) {
    return step;
  }
  Shard* const shard = this->EndAttempt(attempt);
  if (shard != nullptr && shard->state != ShardState::kAnswered) {
    this->SetState(*shard, ShardState::kAnswered);
    this->ReportPart(*shard, now <= this->options.latency_target_at);
    this->answers.push_back(std::move(answer));
    this->answer_sources.push_back(
        {.shard_index = static_cast<size_t>(shard - this->shards.data())});
  }
  this->StartHeldAttempts(now, step);
  return this->FinishStep(std::move(step), now);
}

void RequestRun::RemoveAnswer(size_t shard_index) {
  const auto source = std::ranges::find(this->answer_sources, shard_index,
                                        &AnswerSource::shard_index);
  if (source == this->answer_sources.end()) {
    return;
  }
  this->answers.erase(this->answers.begin() +
                      (source - this->answer_sources.begin()));
  this->answer_sources.erase(source);
}

bool RequestRun::CanReplaceAnswers(std::span<const MergedAnswer> merged) const {
  size_t answered = 0;
  for (const MergedAnswer& answer : merged) {
    if (answer.attempt >= this->attempt_shards.size() ||
        this->attempt_shards[answer.attempt] == kEndedAttempt) {
      return false;
    }
    const size_t shard_index = this->attempt_shards[answer.attempt];
    const auto source = std::ranges::find(this->answer_sources, shard_index,
                                          &AnswerSource::shard_index);
    if (source == this->answer_sources.end()) {
      continue;
    }
    if (source->is_merged) {
      return false;
    }
    ++answered;
  }
  return answered < merged.size();
}

// Merged records can't be separated. If a shard is answered twice, its single
// answer is dropped, so that its records count once.
RunStep RequestRun::OnMergedAnswers(std::span<const MergedAnswer> merged,
                                    MergedBody body,
                                    TimePoint now) {
  RunStep step;
  if (this->ended) {
    return step;
  }
  if (!this->CanReplaceAnswers(merged)) {
    for (const MergedAnswer& answer : merged) {
      Shard* const shard = this->EndAttempt(answer.attempt);
      if (shard != nullptr) {
        this->Retry(static_cast<size_t>(shard - this->shards.data()),
                    /*is_proven_not_run=*/false, now, step);
      }
    }
    return this->FinishStep(std::move(step), now);
  }
  for (const MergedAnswer& answer : merged) {
    Shard* const shard = this->EndAttempt(answer.attempt);
    const auto index = static_cast<size_t>(shard - this->shards.data());
    this->RemoveAnswer(index);
    this->SetState(*shard, ShardState::kAnswered);
    this->ReportPart(*shard, now <= this->options.latency_target_at);
    this->answers.push_back(
        {.status = 200,
         .seal = answer.seal,
         .body = std::exchange(body.records, {}),
         .withheld_id = std::exchange(body.withheld_id, 0)});
    this->answer_sources.push_back(
        {.shard_index = index, .is_merged = merged.size() > 1});
  }
  this->StartHeldAttempts(now, step);
  return this->FinishStep(std::move(step), now);
}

void RequestRun::DelayHedge(uint32_t attempt, Duration delay) {
  if (attempt < this->attempt_shards.size() &&
      this->attempt_shards[attempt] != kEndedAttempt) {
    this->shards[this->attempt_shards[attempt]].hedge_at += delay;
    this->cached_wake_at.reset();
  }
}

void RequestRun::ExpediteHedge(uint32_t attempt, TimePoint now) {
  const uint32_t shard_index = this->attempt_shards[attempt];
  if (shard_index == kEndedAttempt) {
    return;
  }
  Shard& shard = this->shards[shard_index];
  shard.hedge_at = std::min(shard.hedge_at, now);
  this->cached_wake_at.reset();
}

RunStep RequestRun::OnErrorAnswer(uint32_t attempt,
                                  TargetAnswer answer,
                                  TimePoint now) {
  RunStep step;
  if (this->ended) {
    return step;
  }
  Shard* const shard = this->EndAttempt(attempt);
  if (shard != nullptr) {
    shard->error_answer = std::move(answer);
    const auto index = static_cast<size_t>(shard - this->shards.data());
    this->Retry(index, /*is_proven_not_run=*/false, now, step);
  }
  return this->FinishStep(std::move(step), now);
}

RunStep RequestRun::OnAttemptFailed(uint32_t attempt,
                                    AttemptFailure failure,
                                    TimePoint now) {
  RunStep step;
  if (this->ended) {
    return step;
  }
  Shard* const shard = this->EndAttempt(attempt);
  if (shard == nullptr) {
    return this->FinishStep(std::move(step), now);
  }
  const TargetId target = this->attempt_targets[attempt];
  if (failure == AttemptFailure::kNotSent) {
    --shard->attempt_count;
    --shard->delivered;
    shard->unreached.push_back(target);
  }
  if (failure != AttemptFailure::kMayHaveRun) {
    --this->may_have_run_count;
  }
  shard->was_declined = failure == AttemptFailure::kDeclined;
  const auto index = static_cast<size_t>(shard - this->shards.data());
  if (failure == AttemptFailure::kMayHaveRun) {
    shard->error_answer.reset();
  }
  this->Retry(index, failure != AttemptFailure::kMayHaveRun, now, step);
  this->StartHeldAttempts(now, step);
  return this->FinishStep(std::move(step), now);
}

RunStep RequestRun::OnWake(TimePoint now) {
  RunStep step;
  if (this->ended) {
    return step;
  }
  if (now < this->options.deadline) {
    this->StartDueAttempts(now, step);
  }
  return this->FinishStep(std::move(step), now);
}

RunStep RequestRun::OnStop(TimePoint now) {
  this->options.deadline = std::min(this->options.deadline, now);
  this->is_stopped = true;
  return this->OnWake(now);
}

}  // namespace knapweedroad
