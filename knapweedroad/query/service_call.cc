#include "knapweedroad/query/service_call.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/replica_choice.h"

namespace knapweedroad {
namespace {

constexpr uint32_t kMaxFailedRounds = 3;
constexpr double kMedian = 0.5;
constexpr int kHedgeDelayMedians = 3;
// A hedge is as likely to be slow as a first attempt, so a second hedge is
// allowed.
constexpr size_t kMaxHedges = 2;
// The shortest time before a hedge for which there was no budget or no free
// slot is tried again, and before a target is retried.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(1);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(1);
// Delay before an attempt is tried again that was held back until others of the
// same query have ended.
constexpr Duration kHeldRetryDelay = std::chrono::milliseconds(4);

// Returns the time after which an attempt to that zone counts as slow, or
// nullopt with too few samples. Soon after a host starts there are enough
// samples for a median, but not for a high quantile; a multiple of the median
// is used then.
std::optional<Duration> HedgeDelay(const CallContext& context,
                                   const ServiceId& service,
                                   const ZoneId& zone) {
  const LatencyTracker& latencies = context.state.latencies;
  const auto slow =
      latencies.Quantile(service, zone, context.front.hedge_quantile);
  if (slow) {
    return std::max(*slow, kMinHedgeDelay);
  }
  const auto median = latencies.Quantile(service, zone, kMedian);
  if (median) {
    return std::max(*median * kHedgeDelayMedians, kMinHedgeDelay);
  }
  return std::nullopt;
}

bool IsRefusedHedge(const InFlightAttempt& attempt,
                    const TargetAttemptFailure& failure) {
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
    this->RetryIfHeldOrFail(now);
  }
}

void ServiceCall::RetryIfHeldOrFail(TimePoint now) {
  if (this->last_permission == SendPermission::kHeld) {
    this->retry_at = now + kHeldRetryDelay;
  } else {
    this->Fail();
  }
}

std::optional<InFlightAttempt> ServiceCall::TakeAttempt(
    const AttemptId& attempt) {
  const auto found =
      std::ranges::find(this->in_flight, attempt, &InFlightAttempt::id);
  if (found == this->in_flight.end()) {
    return std::nullopt;
  }
  InFlightAttempt taken = std::move(*found);
  this->in_flight.erase(found);
  return taken;
}

void ServiceCall::OnAnswered(const CallContext& context,
                             const InFlightAttempt& attempt,
                             TimePoint now,
                             QueryActions& actions) {
  context.state.RecordLatency(this->service_id, attempt.zone,
                              now - attempt.sent);
  this->call_state = State::kAnswered;
  this->CancelInFlight(context, now, actions);
}

void ServiceCall::OnFailed(const CallContext& context,
                           const InFlightAttempt& attempt,
                           const TargetAttemptFailure& failure,
                           TimePoint now,
                           QueryActions& actions) {
  this->RecordRefusal(context, attempt, failure);
  if (failure.retry_after) {
    this->shortest_retry_after =
        std::min(*failure.retry_after,
                 this->shortest_retry_after.value_or(Duration::max()));
  }
  if (!this->in_flight.empty()) {
    if (IsRefusedHedge(attempt, failure)) {
      // The slot was taken before the hedge arrived. Another target is tried at
      // once, but this one only after the timer, so that refused hedges do not
      // cause an endless loop.
      this->refused_hedge_targets.push_back(attempt.target);
      this->TryHedge(context, now, actions);
    }
    return;
  }
  this->hedge_at.reset();
  const Duration median_latency = MedianLatency(context, this->service_id);
  if (now + median_latency >= context.answer_by) {
    this->Fail();
    return;
  }
  this->AllowRefusedHedgeTargets();
  this->last_permission = SendPermission::kAllowed;
  if (this->RetryOnAnotherTarget(context, failure.outcome, now, actions)) {
    return;
  }
  if (this->last_permission != SendPermission::kAllowed) {
    this->RetryIfHeldOrFail(now);
    return;
  }
  // An open connection may be dead although its target is healthy. If there is
  // no other target, the same one is retried once, since a new connection may
  // work.
  const bool is_connection_lost = failure.kind == FailureKind::kConnection ||
                                  failure.kind == FailureKind::kTargetLost;
  if (is_connection_lost && !this->retried_same_target) {
    this->retried_same_target = true;
    this->retry_at = now + kMinRetryDelay;
    return;
  }
  this->ScheduleRetryOrFail(context, now);
}

void ServiceCall::RecordRefusal(const CallContext& context,
                                const InFlightAttempt& attempt,
                                const TargetAttemptFailure& failure) {
  // A hedge that found no free slot used no capacity and does not indicate
  // overload.
  if (IsRefusedHedge(attempt, failure)) {
    context.state.hedge_budget.Refund();
    context.stats.hedges -= 1;
    return;
  }
  const bool at_capacity = failure.kind == FailureKind::kRefusedByHolder ||
                           failure.kind == FailureKind::kShed;
  context.stats.refused += at_capacity ? 1 : 0;
}

void ServiceCall::OnTimer(const CallContext& context,
                          TimePoint now,
                          QueryActions& actions) {
  if (this->hedge_at && now >= *this->hedge_at) {
    this->AllowRefusedHedgeTargets();
    this->TryHedge(context, now, actions);
  }
  if (this->retry_at && now >= *this->retry_at) {
    this->TryRetry(context, now, actions);
  }
}

void ServiceCall::CancelInFlight(const CallContext& context,
                                 TimePoint now,
                                 QueryActions& actions) {
  for (const InFlightAttempt& attempt : this->in_flight) {
    actions.emplace_back(CancelAttempt{attempt.id, attempt.target});
    // The latency is at least the time so far. If slow attempts that are
    // cancelled after a hedge replied were not recorded, the quantile would
    // drop and cause more hedges.
    const auto hedge_delay =
        HedgeDelay(context, this->service_id, attempt.zone);
    if (hedge_delay && now - attempt.sent >= *hedge_delay) {
      context.state.RecordLatency(this->service_id, attempt.zone,
                                  now - attempt.sent);
    }
  }
  this->in_flight.clear();
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
  if (context.hooks.check_send) {
    const auto unsent =
        std::ranges::count_if(actions, [](const QueryAction& action) {
          return std::holds_alternative<SendAttempt>(action);
        });
    this->last_permission =
        context.hooks.check_send(this->service_id, static_cast<size_t>(unsent));
    if (this->last_permission != SendPermission::kAllowed) {
      return false;
    }
  }
  const auto candidates = context.hooks.candidates(this->service_id);
  const ServiceConfig& config =
      ServiceConfigOrDefault(context.front, this->service_id);
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
  InFlightAttempt attempt{.id = context.hooks.next_attempt_id(),
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
  this->in_flight.push_back(std::move(attempt));
  this->retry_at.reset();
  if (purpose == AttemptPurpose::kFirst) {
    context.stats.first_attempts += 1;
    context.state.hedge_budget.OnFirstAttempt();
    context.state.retry_budget.OnFirstAttempt();
  }
  if (purpose != AttemptPurpose::kHedge) {
    this->ScheduleHedge(context, now);
  }
  return true;
}

void ServiceCall::ScheduleHedge(const CallContext& context, TimePoint now) {
  const auto hedge_delay =
      HedgeDelay(context, this->service_id, this->in_flight.back().zone);
  this->hedge_at.reset();
  if (hedge_delay) {
    this->hedge_at = now + *hedge_delay;
  }
}

void ServiceCall::TryHedge(const CallContext& context,
                           TimePoint now,
                           QueryActions& actions) {
  this->hedge_at.reset();
  const Duration median_latency = MedianLatency(context, this->service_id);
  if (now + median_latency >= context.answer_by) {
    return;
  }
  // Half of the budget is reserved for attempts that are much slower than
  // expected, so that slightly slow attempts do not use it up.
  const InFlightAttempt& oldest = this->in_flight.front();
  const auto hedge_delay = HedgeDelay(context, this->service_id, oldest.zone);
  const bool urgent = hedge_delay && now - oldest.sent >= *hedge_delay * 3 / 2;
  TokenBudget& budget = context.state.hedge_budget;
  if (budget.CanTake(urgent) &&
      this->TrySend(context, AttemptPurpose::kHedge, now, actions)) {
    budget.TryTake();
    context.stats.hedges += 1;
    if (this->in_flight.size() <= kMaxHedges && hedge_delay) {
      this->hedge_at = now + *hedge_delay;
    }
    return;
  }
  this->hedge_at = now + std::max(median_latency / 4, kMinHedgeDelay);
}

void ServiceCall::TryRetry(const CallContext& context,
                           TimePoint now,
                           QueryActions& actions) {
  this->retry_at.reset();
  const bool was_held = this->last_permission == SendPermission::kHeld;
  if (!was_held) {
    this->tried.clear();
  }
  this->last_permission = SendPermission::kAllowed;
  TokenBudget& budget = context.state.retry_budget;
  if (budget.CanTake() &&
      this->TrySend(context, AttemptPurpose::kRetry, now, actions)) {
    budget.TryTake();
    context.stats.retries += 1;
    return;
  }
  if (this->last_permission != SendPermission::kAllowed) {
    this->RetryIfHeldOrFail(now);
    return;
  }
  this->ScheduleRetryOrFail(context, now);
}

void ServiceCall::AllowRefusedHedgeTargets() {
  for (const TargetId& target : this->refused_hedge_targets) {
    std::erase(this->tried, target);
  }
  this->refused_hedge_targets.clear();
}

bool ServiceCall::RetryOnAnotherTarget(const CallContext& context,
                                       RunOutcome outcome,
                                       TimePoint now,
                                       QueryActions& actions) {
  TokenBudget& budget = context.state.retry_budget;
  // The request did not run, so trying another target adds no load and costs no
  // budget. Each target is tried once per round, so refusals by all of them do
  // not cause a loop.
  const bool budget_exempt = outcome == RunOutcome::kNotRun;
  if (!budget_exempt && !budget.CanTake()) {
    return false;
  }
  if (!this->TrySend(context, AttemptPurpose::kRetry, now, actions)) {
    return false;
  }
  if (!budget_exempt) {
    budget.TryTake();
  }
  context.stats.retries += 1;
  return true;
}

void ServiceCall::ScheduleRetryOrFail(const CallContext& context,
                                      TimePoint now) {
  this->failed_rounds += 1;
  const bool cannot_retry = !this->shortest_retry_after ||
                            this->failed_rounds >= kMaxFailedRounds ||
                            context.state.retry_budget.suspended();
  if (cannot_retry) {
    this->Fail();
    return;
  }
  const Duration wait = std::max(*this->shortest_retry_after, kMinRetryDelay);
  const Duration median_latency = MedianLatency(context, this->service_id);
  if (now + wait + median_latency >= context.answer_by) {
    this->Fail();
    return;
  }
  this->retry_at = now + wait;
}

void ServiceCall::Fail() {
  this->call_state = State::kFailed;
  this->hedge_at.reset();
  this->retry_at.reset();
}

Duration MedianLatency(const CallContext& context, const ServiceId& service) {
  return context.state.latencies.Quantile(service, context.own_zone, kMedian)
      .value_or(Duration::zero());
}

}  // namespace knapweedroad
