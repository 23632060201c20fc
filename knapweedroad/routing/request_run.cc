#include "knapweedroad/routing/request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

// Stands for the shard of an attempt that has ended.
constexpr uint32_t kEndedAttempt = UINT32_MAX;
// Delay before a hedge is tried again for which no target could be picked.
constexpr Duration kHedgeRetryDelay = std::chrono::milliseconds(10);
// The same for a hedge that the bound on extra attempts didn't allow.
constexpr Duration kRefusedHedgeRetryDelay = std::chrono::milliseconds(30);
// A shard whose targets all rejected a new connection is asked again after
// about as long as an attempt occupies a connection. The delay doubles each
// time.
constexpr Duration kUnreachedRetryDelay = std::chrono::milliseconds(10);
constexpr int kUnreachedBackoffFactor = 2;
// A request whose targets reject connections for this long is refused, so that
// its caller can try another host, which may have a connection to them.
constexpr Duration kMaxUnreachedTime = std::chrono::milliseconds(450);

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

SendPermission RequestRun::CheckSend(size_t index, const RunStep& step) {
  Shard& shard = this->shards[index];
  SendPermission permission =
      this->hooks.check_send
          ? this->hooks.check_send(this->options.services[index],
                                   step.starts.size())
          : SendPermission::kAllowed;
  // An attempt that is out may yet be answered, which clears the request.
  const bool is_undecided =
      permission == SendPermission::kRefused &&
      std::ranges::any_of(
          this->shards, [](const Shard& other) { return other.in_flight > 0; });
  if (is_undecided) {
    permission = SendPermission::kHeld;
  }
  shard.is_held = permission == SendPermission::kHeld;
  this->has_held_attempts = this->has_held_attempts || shard.is_held;
  shard.is_condemned = permission == SendPermission::kRefused;
  return permission;
}

RequestRun::StartResult RequestRun::StartAttempt(size_t index,
                                                 bool is_hedge,
                                                 TimePoint now,
                                                 RunStep& step) {
  Shard& shard = this->shards[index];
  const ServiceId& service = this->options.services[index];
  const SendPermission permission = this->CheckSend(index, step);
  if (permission != SendPermission::kAllowed) {
    return permission == SendPermission::kHeld ? StartResult::kHeld
                                               : StartResult::kRefused;
  }
  const auto target = this->hooks.pick_target(service, shard.tried);
  if (!target) {
    return StartResult::kNoTarget;
  }
  if (shard.delivered > 0) {
    if (!this->hooks.spend_extra_attempt(service, is_hedge)) {
      shard.extra_attempt_refused = true;
      return StartResult::kOverBudget;
    }
    ++this->extra_count;
  }
  const auto attempt = static_cast<uint32_t>(this->attempt_shards.size());
  this->attempt_shards.push_back(static_cast<uint32_t>(index));
  this->attempt_targets.push_back(*target);
  shard.tried.push_back(*target);
  ++shard.attempt_count;
  ++shard.in_flight;
  ++shard.delivered;
  shard.hedge_at = now + this->options.hedge_delay;
  shard.waits_for_target = false;
  ++this->may_have_run_count;
  step.starts.push_back(
      {.attempt = attempt, .service_index = index, .target = *target});
  return StartResult::kStarted;
}

void RequestRun::StartOrWait(size_t index, TimePoint now, RunStep& step) {
  Shard& shard = this->shards[index];
  switch (this->StartAttempt(index, /*is_hedge=*/false, now, step)) {
    case StartResult::kStarted:
      return;
    case StartResult::kHeld:
      shard.waits_for_target = true;
      return;
    case StartResult::kNoTarget:
      shard.waits_for_target = this->hooks.has_untried_target(
          this->options.services[index], shard.tried);
      break;
    case StartResult::kOverBudget:
    case StartResult::kRefused:
      shard.waits_for_target = false;
      break;
  }
  if (!shard.waits_for_target) {
    this->SetState(shard, ShardState::kFailed);
  }
}

void RequestRun::StartHeldAttempts(TimePoint now, RunStep& step) {
  if (!std::exchange(this->has_held_attempts, false)) {
    return;
  }
  for (size_t i = 0; i < this->shards.size(); ++i) {
    const Shard& shard = this->shards[i];
    if (shard.state == ShardState::kPending && shard.is_held &&
        shard.waits_for_target && now >= shard.retry_at) {
      this->cached_wake_at.reset();
      this->StartOrWait(i, now, step);
    }
  }
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

// A request that isn't idempotent is sent again only after proof that its last
// attempt did not run. Without it, the request might run twice.
void RequestRun::Retry(size_t index,
                       bool is_proven_not_run,
                       TimePoint now,
                       RunStep& step) {
  this->cached_wake_at.reset();
  Shard& shard = this->shards[index];
  if (shard.state == ShardState::kAnswered || shard.in_flight > 0) {
    return;
  }
  const bool may_retry = (this->options.idempotent || is_proven_not_run) &&
                         shard.attempt_count < this->options.max_attempts &&
                         now < this->options.deadline;
  const StartResult result =
      may_retry ? this->StartAttempt(index, /*is_hedge=*/false, now, step)
                : StartResult::kNoTarget;
  if (result == StartResult::kStarted) {
    return;
  }
  if (result == StartResult::kHeld) {
    shard.waits_for_target = true;
    return;
  }
  if (result == StartResult::kRefused) {
    this->SetState(shard, ShardState::kFailed);
    return;
  }
  if (may_retry && this->SkipUnreachedShard(shard, now)) {
    return;
  }
  const bool can_wait_for_target =
      may_retry && !shard.extra_attempt_refused && shard.delivered == 0 &&
      this->hooks.has_untried_target(this->options.services[index],
                                     shard.tried);
  if (can_wait_for_target) {
    shard.waits_for_target = true;
    return;
  }
  this->SetState(shard, ShardState::kFailed);
}

// After hosts have lost power, targets still count the connections from before
// and reject new ones. Connections become free all the time, so the shard is
// tried again. The delay grows, as each try costs the target a connection. The
// answer is sent without the shard if the others suffice.
bool RequestRun::SkipUnreachedShard(Shard& shard, TimePoint now) {
  if (shard.delivered > 0 || shard.unreached.empty() ||
      now - this->started_at >= kMaxUnreachedTime) {
    return false;
  }
  std::erase_if(shard.tried, [&](const TargetId& target) {
    return std::ranges::find(shard.unreached, target) != shard.unreached.end();
  });
  shard.unreached.clear();
  shard.retry_delay = shard.retry_delay == Duration::zero()
                          ? kUnreachedRetryDelay
                          : shard.retry_delay * kUnreachedBackoffFactor;
  shard.retry_at =
      std::min(now + shard.retry_delay, this->started_at + kMaxUnreachedTime);
  this->SetState(shard, ShardState::kSkipped);
  return true;
}

void RequestRun::StartDueAttempts(TimePoint now, RunStep& step) {
  this->cached_wake_at.reset();
  for (size_t i = 0; i < this->shards.size(); ++i) {
    Shard& shard = this->shards[i];
    if (shard.state != ShardState::kPending) {
      continue;
    }
    if (shard.waits_for_target) {
      if (now < shard.retry_at) {
        continue;
      }
      this->StartOrWait(i, now, step);
      continue;
    }
    const bool is_due = this->options.idempotent && shard.in_flight > 0 &&
                        shard.attempt_count < this->options.max_attempts &&
                        now >= shard.hedge_at;
    if (!is_due) {
      continue;
    }
    shard.extra_attempt_refused = false;
    // A late answer that still waits needs this shard: its attempt counts as a
    // retry.
    const bool is_hedge = now < this->options.latency_target_at;
    if (this->StartAttempt(i, is_hedge, now, step) != StartResult::kStarted) {
      shard.hedge_at =
          now + (shard.extra_attempt_refused ? kRefusedHedgeRetryDelay
                                             : kHedgeRetryDelay);
    }
  }
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

}  // namespace knapweedroad
