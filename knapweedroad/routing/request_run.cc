#include "knapweedroad/routing/request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

constexpr uint32_t kEnded = UINT32_MAX;
// A second attempt for which no target promised to be in time is looked for
// again after this.
constexpr Duration kHedgeRetry = std::chrono::milliseconds(10);
// The same where the bound on extra attempts didn't allow it.
constexpr Duration kRefusedHedgeRetry = std::chrono::milliseconds(30);
// One whose targets all turned a new connection away is asked again after about
// as long as an attempt holds a place, and each time twice as long after that.
constexpr Duration kUnreachedRetry = std::chrono::milliseconds(10);
constexpr int kUnreachedBackoff = 2;
// A request whose targets turn it away for this long is refused: its caller may
// find another host that has a place.
constexpr Duration kUnreachedPatience = std::chrono::milliseconds(450);

size_t LeastAnswers(size_t shards, double min_share) {
  const double least = min_share * static_cast<double>(shards);
  // The share is a decimal: 0.9 of 10 is 9, not 9.000000001.
  const auto whole = static_cast<size_t>(std::ceil(least - 1e-9));
  return std::max<size_t>(whole, 1);
}

}  // namespace

RequestRun::RequestRun(RequestRunOptions options, const RunHooks& hooks)
    : options(std::move(options)),
      hooks(hooks),
      shards(this->options.services.size()),
      open(this->shards.size()),
      needed(LeastAnswers(this->shards.size(), this->options.min_share)) {}

void RequestRun::Enter(Shard& shard, ShardState next) {
  this->open -= shard.state == ShardState::kOpen ? 1 : 0;
  this->open += next == ShardState::kOpen ? 1 : 0;
  shard.state = next;
}

RequestRun::Shard* RequestRun::ShardOf(uint32_t attempt) {
  if (attempt >= this->attempt_shards.size() ||
      this->attempt_shards[attempt] == kEnded) {
    return nullptr;
  }
  Shard* const shard = &this->shards[this->attempt_shards[attempt]];
  this->attempt_shards[attempt] = kEnded;
  --shard->out;
  return shard;
}

// False: no target can take it now, or no further attempt is allowed.
bool RequestRun::Begin(size_t index,
                       bool is_hedge,
                       TimePoint now,
                       RunStep& step) {
  Shard& shard = this->shards[index];
  const ServiceId& service = this->options.services[index];
  const auto target = this->hooks.pick(service, shard.tried);
  if (!target) {
    return false;
  }
  if (shard.arrived > 0) {
    if (!this->hooks.spend_extra(service, is_hedge)) {
      shard.hedge_refused = true;
      return false;
    }
    ++this->extra;
  }
  const auto attempt = static_cast<uint32_t>(this->attempt_shards.size());
  this->attempt_shards.push_back(static_cast<uint32_t>(index));
  this->attempt_targets.push_back(*target);
  shard.tried.push_back(*target);
  ++shard.sent;
  ++shard.out;
  ++shard.arrived;
  shard.hedge_at = now + this->options.hedge_after;
  shard.is_waiting = false;
  ++this->unproven;
  step.start.push_back(
      {.attempt = attempt, .service = index, .target = *target});
  return true;
}

void RequestRun::LeaveOut() {
  if (!this->options.is_scatter || !this->hooks.leave_out) {
    return;
  }
  for (const size_t index :
       this->hooks.leave_out(this->shards.size() - this->needed)) {
    this->Enter(this->shards[index], ShardState::kLeftOut);
  }
}

void RequestRun::TakeIn(TimePoint now, RunStep& step) {
  this->known_wake.reset();
  for (size_t i = 0; i < this->shards.size(); ++i) {
    Shard& shard = this->shards[i];
    if (shard.state != ShardState::kLeftOut) {
      continue;
    }
    const bool is_served =
        this->hooks.is_served(this->options.services[i], shard.tried);
    this->Enter(shard, is_served ? ShardState::kOpen : ShardState::kHopeless);
    shard.is_waiting =
        is_served && (now < shard.wait_until ||
                      !this->Begin(i, /*is_hedge=*/false, now, step));
  }
}

void RequestRun::Judge(Shard& shard, bool in_time) {
  if (!std::exchange(shard.is_judged, true) && this->hooks.on_part) {
    const auto index = static_cast<size_t>(&shard - this->shards.data());
    this->hooks.on_part(this->options.services[index], in_time);
  }
}

void RequestRun::JudgeLate(TimePoint now) {
  if (now < this->options.target_at) {
    return;
  }
  for (Shard& shard : this->shards) {
    if (shard.state == ShardState::kOpen) {
      this->Judge(shard, /*in_time=*/false);
    }
  }
}

RunStep RequestRun::Start(TimePoint now) {
  RunStep step;
  this->started = now;
  this->LeaveOut();
  size_t served = 0;
  for (const ServiceId& service : this->options.services) {
    served += this->hooks.is_served(service, {}) ? 1 : 0;
  }
  for (size_t i = 0; i < this->shards.size(); ++i) {
    // Without enough services that have a target the answer can't become a
    // success: nothing is sent, and the caller hears at once when to come back.
    if (served < this->needed && this->options.is_scatter) {
      this->Enter(this->shards[i], ShardState::kHopeless);
      continue;
    }
    if (this->shards[i].state == ShardState::kLeftOut) {
      continue;
    }
    if (!this->Begin(i, /*is_hedge=*/false, now, step)) {
      this->shards[i].is_waiting =
          this->hooks.is_served(this->options.services[i], {});
      if (!this->shards[i].is_waiting) {
        this->Enter(this->shards[i], ShardState::kHopeless);
      }
    }
  }
  return this->Finish(std::move(step), now);
}

RunStep RequestRun::OnAnswer(uint32_t attempt,
                             TargetAnswer answer,
                             TimePoint now) {
  RunStep step;
  if (this->over) {
    return step;
  }
  Shard* const shard = this->ShardOf(attempt);
  if (shard != nullptr && shard->state != ShardState::kAnswered) {
    this->Enter(*shard, ShardState::kAnswered);
    this->Judge(*shard, now <= this->options.target_at);
    this->answers.push_back(std::move(answer));
    this->answer_places.push_back(
        {.shard = static_cast<size_t>(shard - this->shards.data())});
  }
  return this->Finish(std::move(step), now);
}

void RequestRun::DropAnswer(size_t shard_index) {
  const auto at =
      std::ranges::find(this->answer_places, shard_index, &AnswerPlace::shard);
  if (at == this->answer_places.end()) {
    return;
  }
  this->answers.erase(this->answers.begin() +
                      (at - this->answer_places.begin()));
  this->answer_places.erase(at);
}

bool RequestRun::MayReplace(std::span<const MergedAnswer> merged) const {
  size_t answered = 0;
  for (const MergedAnswer& each : merged) {
    if (each.attempt >= this->attempt_shards.size() ||
        this->attempt_shards[each.attempt] == kEnded) {
      return false;
    }
    const size_t shard = this->attempt_shards[each.attempt];
    const auto place =
        std::ranges::find(this->answer_places, shard, &AnswerPlace::shard);
    if (place == this->answer_places.end()) {
      continue;
    }
    if (place->is_merged) {
      return false;
    }
    ++answered;
  }
  return answered < merged.size();
}

// Merged records can't be taken apart: where a shard was answered twice, the
// answer that came alone gives way.
RunStep RequestRun::OnMerged(std::span<const MergedAnswer> merged,
                             MergedBody body,
                             TimePoint now) {
  RunStep step;
  if (this->over) {
    return step;
  }
  if (!this->MayReplace(merged)) {
    for (const MergedAnswer& each : merged) {
      Shard* const shard = this->ShardOf(each.attempt);
      if (shard != nullptr) {
        this->TryAgain(static_cast<size_t>(shard - this->shards.data()),
                       /*is_proven_not_run=*/false, now, step);
      }
    }
    return this->Finish(std::move(step), now);
  }
  for (const MergedAnswer& each : merged) {
    Shard* const shard = this->ShardOf(each.attempt);
    const auto index = static_cast<size_t>(shard - this->shards.data());
    this->DropAnswer(index);
    this->Enter(*shard, ShardState::kAnswered);
    this->Judge(*shard, now <= this->options.target_at);
    this->answers.push_back({.status = 200,
                             .seal = each.seal,
                             .body = std::exchange(body.records, {}),
                             .held = std::exchange(body.held, 0)});
    this->answer_places.push_back(
        {.shard = index, .is_merged = merged.size() > 1});
  }
  return this->Finish(std::move(step), now);
}

void RequestRun::DelayHedge(uint32_t attempt, Duration by) {
  if (attempt < this->attempt_shards.size() &&
      this->attempt_shards[attempt] != kEnded) {
    this->shards[this->attempt_shards[attempt]].hedge_at += by;
    this->known_wake.reset();
  }
}

RunStep RequestRun::OnFailure(uint32_t attempt,
                              TargetAnswer answer,
                              TimePoint now) {
  RunStep step;
  if (this->over) {
    return step;
  }
  Shard* const shard = this->ShardOf(attempt);
  if (shard != nullptr) {
    shard->failure = std::move(answer);
    const auto index = static_cast<size_t>(shard - this->shards.data());
    this->TryAgain(index, /*is_proven_not_run=*/false, now, step);
  }
  return this->Finish(std::move(step), now);
}

RunStep RequestRun::OnEnd(uint32_t attempt, AttemptEnd end, TimePoint now) {
  RunStep step;
  if (this->over) {
    return step;
  }
  Shard* const shard = this->ShardOf(attempt);
  if (shard == nullptr) {
    return this->Finish(std::move(step), now);
  }
  const TargetId target = this->attempt_targets[attempt];
  if (end == AttemptEnd::kNeverSent) {
    --shard->sent;
    --shard->arrived;
    shard->unreached.push_back(target);
  }
  if (end != AttemptEnd::kBroken) {
    --this->unproven;
  }
  shard->was_declined = end == AttemptEnd::kDeclined;
  const auto index = static_cast<size_t>(shard - this->shards.data());
  if (end == AttemptEnd::kBroken) {
    shard->failure.reset();
  }
  this->TryAgain(index, end != AttemptEnd::kBroken, now, step);
  return this->Finish(std::move(step), now);
}

// A request that isn't idempotent goes on only after proof that no attempt of
// it ran: another one after a silence may run it twice.
void RequestRun::TryAgain(size_t index,
                          bool is_proven_not_run,
                          TimePoint now,
                          RunStep& step) {
  this->known_wake.reset();
  Shard& shard = this->shards[index];
  if (shard.state == ShardState::kAnswered || shard.out > 0) {
    return;
  }
  const bool may = (this->options.idempotent || is_proven_not_run) &&
                   shard.sent < this->options.max_attempts &&
                   now < this->options.deadline;
  if (may && this->Begin(index, /*is_hedge=*/false, now, step)) {
    return;
  }
  if (may && this->SetAside(shard, now)) {
    return;
  }
  const bool can_wait =
      may && !shard.hedge_refused && shard.arrived == 0 &&
      this->hooks.is_served(this->options.services[index], shard.tried);
  if (can_wait) {
    shard.is_waiting = true;
    return;
  }
  this->Enter(shard, ShardState::kHopeless);
}

// After a loss of power targets still hold their old connections and turn new
// ones away, while places come free all the time. Their shards are tried again
// with increasing pauses, as each try costs the target a connection, and the
// answer goes without them if it can.
bool RequestRun::SetAside(Shard& shard, TimePoint now) {
  if (shard.arrived > 0 || shard.unreached.empty() ||
      now - this->started >= kUnreachedPatience) {
    return false;
  }
  std::erase_if(shard.tried, [&](const TargetId& target) {
    return std::ranges::find(shard.unreached, target) != shard.unreached.end();
  });
  shard.unreached.clear();
  shard.pause = shard.pause == Duration::zero()
                    ? kUnreachedRetry
                    : shard.pause * kUnreachedBackoff;
  shard.wait_until =
      std::min(now + shard.pause, this->started + kUnreachedPatience);
  this->Enter(shard, ShardState::kLeftOut);
  return true;
}

void RequestRun::Hedge(TimePoint now, RunStep& step) {
  this->known_wake.reset();
  for (size_t i = 0; i < this->shards.size(); ++i) {
    Shard& shard = this->shards[i];
    if (shard.state != ShardState::kOpen) {
      continue;
    }
    if (shard.is_waiting) {
      if (now < shard.wait_until) {
        continue;
      }
      if (!this->Begin(i, /*is_hedge=*/false, now, step) &&
          !this->hooks.is_served(this->options.services[i], shard.tried)) {
        this->Enter(shard, ShardState::kHopeless);
      }
      continue;
    }
    const bool due = this->options.idempotent && shard.out > 0 &&
                     shard.sent < this->options.max_attempts &&
                     now >= shard.hedge_at;
    if (!due) {
      continue;
    }
    shard.hedge_refused = false;
    // An answer that is late and still waits can't do without the shard.
    const bool is_hedge = now < this->options.target_at;
    if (!this->Begin(i, is_hedge, now, step)) {
      shard.hedge_at =
          now + (shard.hedge_refused ? kRefusedHedgeRetry : kHedgeRetry);
    }
  }
}

RunStep RequestRun::OnWake(TimePoint now) {
  RunStep step;
  if (this->over) {
    return step;
  }
  if (now < this->options.deadline) {
    this->Hedge(now, step);
  }
  return this->Finish(std::move(step), now);
}

}  // namespace knapweedroad
