// The part of RequestRun that decides when an attempt is started, first or
// again.

#include <algorithm>
#include <utility>

#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {
namespace {

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

}  // namespace

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

}  // namespace knapweedroad
