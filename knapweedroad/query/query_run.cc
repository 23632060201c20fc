#include "knapweedroad/query/query_run.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/replica_choice.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kMaxRounds = 3;
// For refusals whose cause names no time: about what a target needs to
// announce itself again.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
// Between two tries to get a hedge that had no budget or no free slot.
constexpr Duration kShortestHedgeWait = milliseconds(1);
constexpr Duration kShortestRetryWait = milliseconds(1);

}  // namespace

QueryRun::QueryRun(QueryRunOptions options) : options(std::move(options)) {}

QueryActions QueryRun::Start(TimePoint now) {
  QueryActions actions;
  if (now >= this->AnswerBy()) {
    this->Refuse({.status = 504,
                  .title = "Deadline passed",
                  .detail = "the deadline passed before the query began",
                  .outcome = RunOutcome::kNotRun},
                 actions);
    return actions;
  }
  const auto choice = ChooseSnapshot(this->options.front, this->AllCandidates(),
                                     this->options.snapshot_rule);
  if (!choice) {
    this->Refuse({.status = 503,
                  .title = "No target",
                  .detail = "no usable target holds a known snapshot",
                  .outcome = RunOutcome::kNotRun,
                  .retry_after = kDefaultRetryAfter},
                 actions);
    return actions;
  }
  this->Pin(choice->snapshot);
  // What can't reach the minimum is refused before it loads any target.
  if (choice->reachable.Reaches(this->options.front.minimum_coverage)) {
    this->SendAll(now, actions);
  } else {
    this->Finish(now, actions);
    return actions;
  }
  this->Settle(now, actions);
  return actions;
}

QueryActions QueryRun::OnReply(const AttemptId& attempt,
                               SubReply reply,
                               TimePoint now) {
  QueryActions actions;
  // Failure: an answer that comes late or under a crossed id is counted for a
  // query or a snapshot that it isn't of. Only ids that are awaited right now
  // are looked up, and a restart forgets those of before.
  const Found found = this->TakeAttempt(attempt);
  if (found.part == nullptr) {
    return actions;
  }
  this->any_run = true;
  QueryPart& part = *found.part;
  if (reply.snapshot != this->pinned) {
    this->run_stats.wrong_snapshots += 1;
    part.snapshot_lost = true;
    const SubFailure failure{.outcome = RunOutcome::kRun,
                             .kind = FailureKind::kBroken};
    this->OnPartFailed(part, failure, now, actions);
    this->Settle(now, actions);
    return actions;
  }
  this->options.state.latencies.Record(part.service, found.attempt.zone,
                                       now - found.attempt.sent);
  part.state = PartState::kAnswered;
  part.units_answered = std::min(reply.units, part.units);
  part.hits = std::move(reply.hits);
  this->CancelLive(part, now, actions);
  this->Settle(now, actions);
  return actions;
}

QueryActions QueryRun::OnFailure(const AttemptId& attempt,
                                 const SubFailure& failure,
                                 TimePoint now) {
  QueryActions actions;
  const Found found = this->TakeAttempt(attempt);
  if (found.part == nullptr) {
    return actions;
  }
  this->NoteOutcome(failure.outcome);
  this->OnPartFailed(*found.part, failure, now, actions);
  this->Settle(now, actions);
  return actions;
}

QueryActions QueryRun::OnTimer(TimePoint now) {
  QueryActions actions;
  this->Settle(now, actions);
  if (this->is_finished) {
    return actions;
  }
  for (QueryPart& part : this->parts) {
    if (part.hedge_at && now >= *part.hedge_at) {
      this->TryHedge(part, now, actions);
    }
    if (part.retry_at && now >= *part.retry_at) {
      this->TryRetry(part, now, actions);
    }
  }
  this->Settle(now, actions);
  return actions;
}

QueryActions QueryRun::Abandon(TimePoint now) {
  QueryActions actions;
  if (this->is_finished) {
    return actions;
  }
  for (QueryPart& part : this->parts) {
    this->CancelLive(part, now, actions);
  }
  this->is_finished = true;
  return actions;
}

std::optional<TimePoint> QueryRun::NextWake() const {
  if (this->is_finished) {
    return std::nullopt;
  }
  TimePoint wake = this->AnswerBy();
  const FrontConfig& front = this->options.front;
  if (front.policy == AnswerPolicy::kTail &&
      this->Answered().Reaches(front.minimum_coverage)) {
    wake = std::min(wake, this->options.start + front.tail_target);
  }
  for (const QueryPart& part : this->parts) {
    wake = std::min(wake, part.hedge_at.value_or(wake));
    wake = std::min(wake, part.retry_at.value_or(wake));
  }
  return wake;
}

CandidatesByService QueryRun::AllCandidates() const {
  CandidatesByService candidates;
  for (const GenerationConfig& generation : this->options.front.generations) {
    for (const auto& [service, units] : generation.units) {
      if (!candidates.contains(service)) {
        candidates.emplace(service, this->options.hooks.candidates(service));
      }
    }
  }
  return candidates;
}

void QueryRun::Pin(const SnapshotId& snapshot) {
  this->pinned = snapshot;
  this->parts.clear();
  const auto* generation =
      FindGeneration(this->options.front, snapshot.generation);
  for (const auto& [service, units] : generation->units) {
    QueryPart part;
    part.service = service;
    part.units = units;
    this->parts.push_back(std::move(part));
  }
}

void QueryRun::SendAll(TimePoint now, QueryActions& actions) {
  for (QueryPart& part : this->parts) {
    if (!this->TrySend(part, AttemptPurpose::kFirst, now, actions)) {
      part.state = PartState::kGivenUp;
    }
  }
}

QueryRun::Found QueryRun::TakeAttempt(const AttemptId& attempt) {
  for (QueryPart& part : this->parts) {
    const auto live = std::ranges::find(part.live, attempt, &QueryAttempt::id);
    if (live != part.live.end()) {
      Found found{.part = &part, .attempt = std::move(*live)};
      part.live.erase(live);
      return found;
    }
  }
  return {};
}

bool QueryRun::TrySend(QueryPart& part,
                       AttemptPurpose purpose,
                       TimePoint now,
                       QueryActions& actions) {
  const auto candidates = this->options.hooks.candidates(part.service);
  const ServiceConfig& service = this->ServiceOf(part.service);
  const auto choice = ChooseReplica(
      candidates, {.own_zone = this->options.own_zone,
                   .snapshot = this->pinned,
                   .excluded = part.tried,
                   .slots = service.slots,
                   .cold_slots = service.cold_slots,
                   .free_slot_only = purpose == AttemptPurpose::kHedge,
                   .random = this->options.hooks.random});
  if (!choice) {
    return false;
  }
  QueryAttempt attempt{.id = this->options.hooks.next_attempt_id(),
                       .target = choice->target,
                       .zone = choice->zone,
                       .purpose = purpose,
                       .sent = now};
  actions.emplace_back(SendAttempt{.attempt = attempt.id,
                                   .service = part.service,
                                   .target = attempt.target,
                                   .snapshot = this->pinned,
                                   .deadline = this->AnswerBy(),
                                   .purpose = purpose});
  part.tried.push_back(attempt.target);
  part.live.push_back(std::move(attempt));
  part.retry_at.reset();
  if (purpose == AttemptPurpose::kFirst) {
    this->run_stats.first_tries += 1;
    this->options.state.hedges.OnFirstTry();
    this->options.state.retries.OnFirstTry();
  }
  if (purpose != AttemptPurpose::kHedge) {
    this->PlanHedge(part, now);
  }
  return true;
}

void QueryRun::PlanHedge(QueryPart& part, TimePoint now) {
  const auto slow = this->options.state.latencies.Quantile(
      part.service, part.live.back().zone, this->options.front.hedge_quantile);
  part.hedge_at.reset();
  if (slow) {
    part.hedge_at = now + std::max(*slow, kShortestHedgeWait);
  }
}

void QueryRun::TryHedge(QueryPart& part, TimePoint now, QueryActions& actions) {
  part.hedge_at.reset();
  const Duration typical = this->TypicalLatency(part.service);
  if (now + typical >= this->AnswerBy()) {
    return;
  }
  // The slot is looked for first: a hedge that isn't sent costs no budget.
  QueryActions send;
  TokenBudget& budget = this->options.state.hedges;
  if (budget.CanTake() &&
      this->TrySend(part, AttemptPurpose::kHedge, now, send)) {
    budget.Take();
    this->run_stats.hedges += 1;
    std::ranges::move(send, std::back_inserter(actions));
    return;
  }
  part.hedge_at = now + std::max(typical / 4, kShortestHedgeWait);
}

void QueryRun::OnPartFailed(QueryPart& part,
                            const SubFailure& failure,
                            TimePoint now,
                            QueryActions& actions) {
  if (failure.kind == FailureKind::kNoSnapshot) {
    part.snapshot_lost = true;
  }
  if (failure.retry_after) {
    part.retry_after = std::min(*failure.retry_after,
                                part.retry_after.value_or(Duration::max()));
  }
  if (!part.live.empty()) {
    return;
  }
  part.hedge_at.reset();
  if (now + this->TypicalLatency(part.service) >= this->AnswerBy()) {
    part.state = PartState::kGivenUp;
    return;
  }
  TokenBudget& budget = this->options.state.retries;
  // Nothing ran, so asking another target adds no load on any. Each is asked
  // once a round: refusals by all of them don't become a loop.
  const bool is_free = failure.outcome == RunOutcome::kNotRun;
  if (is_free || budget.CanTake()) {
    const bool sent = this->TrySend(part, AttemptPurpose::kRetry, now, actions);
    if (sent && !is_free) {
      budget.Take();
    }
    this->run_stats.retries += sent ? 1 : 0;
    if (sent) {
      return;
    }
  }
  // An open connection may have gone silent while its target is well: where
  // there is no other, the same target is asked once more.
  if (failure.kind == FailureKind::kConnection && !part.asked_again) {
    part.asked_again = true;
    part.retry_at = now + kShortestRetryWait;
    return;
  }
  this->WaitOrGiveUp(part, now);
}

void QueryRun::WaitOrGiveUp(QueryPart& part, TimePoint now) {
  part.rounds += 1;
  const bool hopeless = !part.retry_after || part.rounds >= kMaxRounds ||
                        this->options.state.retries.suspended();
  const Duration wait = std::max(part.retry_after.value_or(kDefaultRetryAfter),
                                 kShortestRetryWait);
  const TimePoint back = now + wait + this->TypicalLatency(part.service);
  if (hopeless || back >= this->AnswerBy()) {
    part.state = PartState::kGivenUp;
    return;
  }
  part.retry_at = now + wait;
}

void QueryRun::TryRetry(QueryPart& part, TimePoint now, QueryActions& actions) {
  part.retry_at.reset();
  part.tried.clear();
  TokenBudget& budget = this->options.state.retries;
  if (budget.CanTake() &&
      this->TrySend(part, AttemptPurpose::kRetry, now, actions)) {
    budget.Take();
    this->run_stats.retries += 1;
    return;
  }
  this->WaitOrGiveUp(part, now);
}

void QueryRun::CancelLive(QueryPart& part,
                          TimePoint now,
                          QueryActions& actions) {
  for (const QueryAttempt& attempt : part.live) {
    actions.emplace_back(CancelAttempt{attempt.id, attempt.target});
    // It took at least this long. Left out, stragglers that lose to a hedge
    // would vanish from the quantile, which would sink and cause more hedges.
    const auto slow = this->options.state.latencies.Quantile(
        part.service, attempt.zone, this->options.front.hedge_quantile);
    if (slow && now - attempt.sent >= *slow) {
      this->options.state.latencies.Record(part.service, attempt.zone,
                                           now - attempt.sent);
    }
  }
  part.live.clear();
  part.hedge_at.reset();
  part.retry_at.reset();
}

}  // namespace knapweedroad
