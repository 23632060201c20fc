#include "knapweedroad/query/service_call.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/replica_choice.h"

namespace knapweedroad {
namespace {

constexpr uint32_t kMaxRounds = 3;
constexpr double kMedian = 0.5;
constexpr int kSlowMedians = 3;
// A hedge straggles as often as a first try.
constexpr size_t kMaxHedges = 2;
// Between two tries to get a hedge that had no budget or no free slot, at
// least, and before a target is asked again.
constexpr Duration kShortestHedgeWait = std::chrono::milliseconds(1);
constexpr Duration kShortestRetryWait = std::chrono::milliseconds(1);

// When a request to that zone counts as slow. After a start there are too few
// samples for a high quantile, but soon enough for a median.
std::optional<Duration> SlowAfter(const CallContext& context,
                                  const ServiceId& service,
                                  const ZoneId& zone) {
  const LatencyBook& latencies = context.state.latencies;
  const auto slow =
      latencies.Quantile(service, zone, context.front.hedge_quantile);
  if (slow) {
    return std::max(*slow, kShortestHedgeWait);
  }
  const auto median = latencies.Quantile(service, zone, kMedian);
  if (median) {
    return std::max(*median * kSlowMedians, kShortestHedgeWait);
  }
  return std::nullopt;
}

bool IsRefusedHedge(const LiveAttempt& attempt, const SubFailure& failure) {
  return attempt.purpose == AttemptPurpose::kHedge &&
         failure.outcome == RunOutcome::kNotRun;
}

}  // namespace

ServiceCall::ServiceCall(const ServiceId& service,
                         std::optional<SnapshotId> snapshot)
    : service_id(service), snapshot(snapshot) {}

void ServiceCall::Start(const CallContext& context,
                        TimePoint now,
                        QueryActions& actions) {
  if (!this->TrySend(context, AttemptPurpose::kFirst, now, actions)) {
    this->GiveUp();
  }
}

std::optional<LiveAttempt> ServiceCall::Take(const AttemptId& attempt) {
  const auto found = std::ranges::find(this->live, attempt, &LiveAttempt::id);
  if (found == this->live.end()) {
    return std::nullopt;
  }
  LiveAttempt taken = std::move(*found);
  this->live.erase(found);
  return taken;
}

void ServiceCall::OnAnswered(const CallContext& context,
                             const LiveAttempt& attempt,
                             TimePoint now,
                             QueryActions& actions) {
  context.state.RecordLatency(this->service_id, attempt.zone,
                              now - attempt.sent);
  this->call_state = State::kAnswered;
  this->CancelLive(context, now, actions);
}

void ServiceCall::OnFailed(const CallContext& context,
                           const LiveAttempt& attempt,
                           const SubFailure& failure,
                           TimePoint now,
                           QueryActions& actions) {
  this->NoteRefusal(context, attempt, failure);
  if (failure.retry_after) {
    this->shortest_wait = std::min(
        *failure.retry_after, this->shortest_wait.value_or(Duration::max()));
  }
  if (!this->live.empty()) {
    if (IsRefusedHedge(attempt, failure)) {
      // Its slot was gone when it came: another target at once, and the same
      // one again only by the timer, or refused hedges would chase each other.
      this->full_for_hedges.push_back(attempt.target);
      this->TryHedge(context, now, actions);
    }
    return;
  }
  this->hedge_at.reset();
  const Duration typical = TypicalLatency(context, this->service_id);
  if (now + typical >= context.answer_by) {
    this->GiveUp();
    return;
  }
  this->AskFullOnesAgain();
  if (this->TryAnotherTarget(context, failure.outcome, now, actions)) {
    return;
  }
  // An open connection may have gone silent while its target is well: where
  // there is no other, the same target is asked once more.
  if (failure.kind == FailureKind::kConnection && !this->asked_again) {
    this->asked_again = true;
    this->retry_at = now + kShortestRetryWait;
    return;
  }
  this->WaitOrGiveUp(context, now);
}

void ServiceCall::NoteRefusal(const CallContext& context,
                              const LiveAttempt& attempt,
                              const SubFailure& failure) {
  // A hedge that met no free slot cost nothing, and isn't a sign of overload.
  if (IsRefusedHedge(attempt, failure)) {
    context.state.hedges.GiveBack();
    context.stats.hedges -= 1;
    return;
  }
  const bool no_room = failure.kind == FailureKind::kRefusedQueue ||
                       failure.kind == FailureKind::kShed;
  context.stats.refused += no_room ? 1 : 0;
}

void ServiceCall::OnTimer(const CallContext& context,
                          TimePoint now,
                          QueryActions& actions) {
  if (this->hedge_at && now >= *this->hedge_at) {
    this->AskFullOnesAgain();
    this->TryHedge(context, now, actions);
  }
  if (this->retry_at && now >= *this->retry_at) {
    this->TryRetry(context, now, actions);
  }
}

void ServiceCall::CancelLive(const CallContext& context,
                             TimePoint now,
                             QueryActions& actions) {
  for (const LiveAttempt& attempt : this->live) {
    actions.emplace_back(CancelAttempt{attempt.id, attempt.target});
    // It took at least this long. Left out, stragglers that lose to a hedge
    // would vanish from the quantile, which would sink and cause more hedges.
    const auto slow = SlowAfter(context, this->service_id, attempt.zone);
    if (slow && now - attempt.sent >= *slow) {
      context.state.RecordLatency(this->service_id, attempt.zone,
                                  now - attempt.sent);
    }
  }
  this->live.clear();
  this->hedge_at.reset();
  this->retry_at.reset();
}

std::optional<TimePoint> ServiceCall::NextWake() const {
  return this->hedge_at ? this->hedge_at : this->retry_at;
}

bool ServiceCall::TrySend(const CallContext& context,
                          AttemptPurpose purpose,
                          TimePoint now,
                          QueryActions& actions) {
  const auto candidates = context.hooks.candidates(this->service_id);
  const ServiceConfig& config = FindService(context.front, this->service_id);
  const auto choice = ChooseReplica(
      candidates, {.own_zone = context.own_zone,
                   .snapshot = this->snapshot,
                   .excluded = this->tried,
                   .slots = config.slots,
                   .cold_slots = config.cold_slots,
                   .free_slot_only = purpose == AttemptPurpose::kHedge,
                   .random = context.hooks.random});
  if (!choice) {
    return false;
  }
  LiveAttempt attempt{.id = context.hooks.next_attempt_id(),
                      .target = choice->target,
                      .zone = choice->zone,
                      .purpose = purpose,
                      .sent = now};
  actions.emplace_back(
      SendAttempt{.attempt = attempt.id,
                  .service = this->service_id,
                  .target = attempt.target,
                  .snapshot = this->snapshot.value_or(SnapshotId{}),
                  .deadline = context.answer_by,
                  .purpose = purpose});
  this->tried.push_back(attempt.target);
  this->live.push_back(std::move(attempt));
  this->retry_at.reset();
  if (purpose == AttemptPurpose::kFirst) {
    context.stats.first_tries += 1;
    context.state.hedges.OnFirstTry();
    context.state.retries.OnFirstTry();
  }
  if (purpose != AttemptPurpose::kHedge) {
    this->PlanHedge(context, now);
  }
  return true;
}

void ServiceCall::PlanHedge(const CallContext& context, TimePoint now) {
  const auto slow =
      SlowAfter(context, this->service_id, this->live.back().zone);
  this->hedge_at.reset();
  if (slow) {
    this->hedge_at = now + *slow;
  }
}

void ServiceCall::TryHedge(const CallContext& context,
                           TimePoint now,
                           QueryActions& actions) {
  this->hedge_at.reset();
  const Duration typical = TypicalLatency(context, this->service_id);
  if (now + typical >= context.answer_by) {
    return;
  }
  // Half of the budget is kept for attempts that are far over, so that those
  // that are merely slower than most don't use it up.
  const LiveAttempt& slow = this->live.front();
  const auto expected = SlowAfter(context, this->service_id, slow.zone);
  const bool urgent = expected && now - slow.sent >= *expected * 3 / 2;
  TokenBudget& budget = context.state.hedges;
  if (budget.CanTake(urgent) &&
      this->TrySend(context, AttemptPurpose::kHedge, now, actions)) {
    budget.Take();
    context.stats.hedges += 1;
    if (this->live.size() <= kMaxHedges && expected) {
      this->hedge_at = now + *expected;
    }
    return;
  }
  this->hedge_at = now + std::max(typical / 4, kShortestHedgeWait);
}

void ServiceCall::TryRetry(const CallContext& context,
                           TimePoint now,
                           QueryActions& actions) {
  this->retry_at.reset();
  this->tried.clear();
  TokenBudget& budget = context.state.retries;
  if (budget.CanTake() &&
      this->TrySend(context, AttemptPurpose::kRetry, now, actions)) {
    budget.Take();
    context.stats.retries += 1;
    return;
  }
  this->WaitOrGiveUp(context, now);
}

void ServiceCall::AskFullOnesAgain() {
  for (const TargetId& target : this->full_for_hedges) {
    std::erase(this->tried, target);
  }
  this->full_for_hedges.clear();
}

bool ServiceCall::TryAnotherTarget(const CallContext& context,
                                   RunOutcome outcome,
                                   TimePoint now,
                                   QueryActions& actions) {
  TokenBudget& budget = context.state.retries;
  // Nothing ran, so asking another target adds no load on any. Each is asked
  // once a round: refusals by all of them don't become a loop.
  const bool is_free = outcome == RunOutcome::kNotRun;
  if (!is_free && !budget.CanTake()) {
    return false;
  }
  if (!this->TrySend(context, AttemptPurpose::kRetry, now, actions)) {
    return false;
  }
  if (!is_free) {
    budget.Take();
  }
  context.stats.retries += 1;
  return true;
}

void ServiceCall::WaitOrGiveUp(const CallContext& context, TimePoint now) {
  this->rounds += 1;
  const bool hopeless = !this->shortest_wait || this->rounds >= kMaxRounds ||
                        context.state.retries.suspended();
  if (hopeless) {
    this->GiveUp();
    return;
  }
  const Duration wait = std::max(*this->shortest_wait, kShortestRetryWait);
  const Duration typical = TypicalLatency(context, this->service_id);
  if (now + wait + typical >= context.answer_by) {
    this->GiveUp();
    return;
  }
  this->retry_at = now + wait;
}

void ServiceCall::GiveUp() {
  this->call_state = State::kGivenUp;
  this->hedge_at.reset();
  this->retry_at.reset();
}

Duration TypicalLatency(const CallContext& context, const ServiceId& service) {
  return context.state.latencies.Quantile(service, context.own_zone, kMedian)
      .value_or(Duration::zero());
}

}  // namespace knapweedroad
