// What the outcomes of attempts and health questions make a load balancer
// believe of its targets.

#include "knapweedroad/routing/load_balancer.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/target_cost.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// Weight of a new value in a smoothed latency.
constexpr double kLatencyWeight = 0.15;
constexpr double kServiceLatencyWeight = 0.02;
// Weight of a new outcome in the smoothed share of failures.
constexpr double kFailureWeight = 0.3;
// Unanswered for this many usual latencies, and for more than two of the pauses
// that targets make now and then, a target counts as silent.
constexpr double kSilentFactor = 6;
constexpr Duration kSilentFloor = milliseconds(450);
// An attempt given up after this many usual latencies tells how slow its target
// is at the least.
constexpr double kGivenUpFactor = 2;
constexpr double kGivenUpWeight = 0.3;
// Health questions: soon after the failure, then spread out; each host's share
// of them shrinks with the number of hosts.
constexpr Duration kProbeInterval = milliseconds(400);
constexpr Duration kProbeIntervalAHost = milliseconds(40);
constexpr size_t kProbeBackoffSteps = 4;
// After a target has turned a connection away, for this long a host keeps to
// the targets that it is connected to: all hosts have lost their power, the
// targets still hold the connections of before, and a host that takes a second
// place leaves another without any. Targets notice within about ten seconds.
constexpr Duration kScarceMemory = std::chrono::seconds(4);
// Targets notice within this that the hosts of their connections are gone.
constexpr Duration kOldConnectionsHeld = std::chrono::seconds(12);

// An attempt that takes so many times as long as usual is told of at once.
constexpr double kBadLatency = 3;
constexpr double kNsInUs = 1e3;

}  // namespace

void LoadBalancer::OnSent(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    ++target->in_flight;
    target->sent.push_back(now);
  }
}

void LoadBalancer::EndAttempt(BalancedTarget& target) {
  if (target.in_flight > 0) {
    --target.in_flight;
  }
  // Which attempt ended isn't known here; the oldest is taken for it unless
  // only its age matters: an answer shows that the target is not stalled.
  if (!target.sent.empty()) {
    target.sent.erase(target.sent.begin());
  }
}

void LoadBalancer::ReportHealth(const BalancedTarget& target,
                                std::string_view health,
                                std::string_view cause,
                                Duration span) const {
  if (this->options.on_health_change) {
    this->options.on_health_change({.target = target.record.id,
                                    .health = health,
                                    .cause = cause,
                                    .span = span});
  }
}

void LoadBalancer::Restore(BalancedTarget& target, std::string_view cause) {
  if (std::exchange(target.is_ejected, false)) {
    this->ReportHealth(target, "restored", cause);
  }
  target.is_only_silent = false;
  target.needs_probe = false;
  target.failed_probes = 0;
  target.unhealthy_probes = 0;
}

void LoadBalancer::CountLatency(BalancedTarget& target,
                                double taken,
                                double weight,
                                TargetOutcomes seen,
                                TimePoint now) {
  target.latency = target.latency <= 0
                       ? taken
                       : target.latency * (1 - weight) + taken * weight;
  target.latency_at = now;
  seen.timed = 1;
  seen.latency_us = static_cast<uint64_t>(taken / kNsInUs);
  this->ShareOutcome(target, std::move(seen));
  BalancedService& service = *target.service;
  service.latency = service.latency <= 0
                        ? taken
                        : service.latency * (1 - kServiceLatencyWeight) +
                              taken * kServiceLatencyWeight;
}

void LoadBalancer::TakeLoad(BalancedTarget& target,
                            const std::optional<TargetLoad>& load,
                            TimePoint now) {
  if (!load) {
    return;
  }
  target.load = *load;
  target.load_at = now;
  target.limit.OnLoadReport(*load, target.record.slots,
                            this->CapOf(target, now));
}

void LoadBalancer::OnAnswered(const TargetId& id,
                              Duration latency,
                              const std::optional<TargetLoad>& load,
                              TimePoint now) {
  BalancedTarget* const target = this->Get(id);
  if (target == nullptr) {
    return;
  }
  this->EndAttempt(*target);
  this->CountLatency(*target, static_cast<double>(latency.count()),
                     kLatencyWeight, {.answered = 1}, now);
  this->TakeLoad(*target, load, now);
  CountOutcome(*target, 0, kFailureWeight, now);
  target->last_success = now;
  if (this->IsOutside(*target)) {
    this->OnOutsideAnswer(now);
  }
  this->Restore(*target, "answered");
}

void LoadBalancer::OnDeclined(const TargetId& id,
                              const std::optional<TargetLoad>& load,
                              TimePoint now) {
  BalancedTarget* const target = this->Get(id);
  if (target == nullptr) {
    return;
  }
  this->EndAttempt(*target);
  this->TakeLoad(*target, load, now);
  CountOutcome(*target, 1, kFailureWeight, now);
  this->ShareOutcome(*target, {.failed = 1});
}

void LoadBalancer::OnFailed(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    this->EndAttempt(*target);
    CountOutcome(*target, 1, kFailureWeight, now);
    this->ShareOutcome(*target, {.failed = 1});
  }
}

void LoadBalancer::OnBroken(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    this->EndAttempt(*target);
    CountOutcome(*target, 1, kFailureWeight, now);
    this->ShareOutcome(*target, {.failed = 1});
    target->needs_probe = true;
  }
}

// After a loss of power targets hold their old connections for a while. Keeping
// new ones would lock other hosts out for as long; later, a host that is turned
// away is one of many, and each new connection costs the target time.
bool LoadBalancer::GivesBackConnections(TimePoint now) const {
  return now < this->connections_scarce_until &&
         now - this->options.started < kOldConnectionsHeld;
}

// The next attempts go elsewhere, but it is sound: no health question, which
// would need a connection as well.
void LoadBalancer::OnConnectionRejected(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    this->EndAttempt(*target);
    CountOutcome(*target, 1, kFailureWeight, now);
    this->connections_scarce_until = now + kScarceMemory;
  }
}

void LoadBalancer::Eject(BalancedTarget& target,
                         std::string_view cause,
                         TimePoint now) {
  CountOutcome(target, 1, 1, now);
  if (!std::exchange(target.is_ejected, true)) {
    const TimePoint since = target.sent.empty() ? now : target.sent.front();
    this->ReportHealth(target, "ejected", cause, now - since);
  }
  target.needs_probe = true;
  if (this->IsOutside(target)) {
    this->zone_reachability.OnUnanswered(target.record.id);
  }
  target.sent.clear();
}

void LoadBalancer::OnUnreachable(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    this->EndAttempt(*target);
    this->Eject(*target, "unreachable", now);
    target->is_only_silent = false;
  }
}

void LoadBalancer::OnSilent(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    const bool was_ejected = target->is_ejected;
    this->Eject(*target, "silent", now);
    target->is_only_silent = !was_ejected || target->is_only_silent;
  }
}

void LoadBalancer::EjectSilent(TimePoint now) {
  for (auto& [id, target] : this->targets) {
    if (target.sent.empty() || target.is_ejected) {
      continue;
    }
    const double usual = std::max(target.latency, target.service->latency);
    const Duration allowed = std::max<Duration>(
        kSilentFloor, Duration(static_cast<int64_t>(kSilentFactor * usual)));
    const TimePoint since = std::max(target.sent.front(), target.last_success);
    if (now - since > allowed) {
      this->OnSilent(id, now);
    }
  }
}

void LoadBalancer::OnMisdirected(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    this->EndAttempt(*target);
    target->record.phase = TargetPhase::kGone;
    CountOutcome(*target, 1, 1, now);
    this->ReportHealth(*target, "gone", "another_at_its_address");
  }
}

// Attempts that are given up count with the time they waited; otherwise a
// target that never answers would look idle and fast.
void LoadBalancer::OnAbandoned(const TargetId& id,
                               Duration waited,
                               TimePoint now) {
  BalancedTarget* const target = this->Get(id);
  if (target == nullptr) {
    return;
  }
  this->EndAttempt(*target);
  const auto taken = static_cast<double>(waited.count());
  const double usual = target->service->latency;
  if (taken > kGivenUpFactor * usual && taken > target->latency) {
    this->CountLatency(*target, taken, kGivenUpWeight, {}, now);
  }
}

// A target that restarts under its id is cold. Closed idle connections are the
// first sign of it, so a health question goes before the next request.
void LoadBalancer::OnIdleClosed(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Get(id)) {
    target->needs_probe = true;
    target->next_probe = std::min(target->next_probe, now);
  }
}

Duration LoadBalancer::ProbeInterval(const BalancedTarget& target) const {
  const auto hosts = static_cast<int64_t>(this->share.host_count());
  const Duration least = std::max(kProbeInterval, kProbeIntervalAHost * hosts);
  const auto steps = std::min(target.failed_probes, kProbeBackoffSteps);
  return least + least * static_cast<int64_t>(steps) / 2;
}

std::vector<DueProbe> LoadBalancer::DueProbes(TimePoint now) {
  std::vector<DueProbe> due;
  for (auto& [id, target] : this->targets) {
    const bool wanted = (target.is_ejected || target.needs_probe) &&
                        target.record.phase != TargetPhase::kGone &&
                        target.record.phase != TargetPhase::kLeaving &&
                        !this->zones_out.contains(target.record.zone);
    const RoutedService* const service =
        this->routing == nullptr
            ? nullptr
            : this->routing->FindService(target.record.service);
    if (!wanted || service == nullptr || now < target.next_probe) {
      continue;
    }
    target.next_probe = now + this->ProbeInterval(target);
    due.push_back({id, target.record.address, service->health_path});
  }
  return due;
}

void LoadBalancer::OnProbe(const TargetId& id,
                           const ProbeResult& result,
                           TimePoint now) {
  BalancedTarget* const target = this->Get(id);
  if (target == nullptr) {
    return;
  }
  if (result.is_other_target) {
    target->record.phase = TargetPhase::kGone;
    this->ReportHealth(*target, "gone", "another_at_its_address");
    return;
  }
  const bool is_colder = result.cold_left > Duration::zero() &&
                         now + result.cold_left > target->cold_until;
  if (result.is_reachable && this->IsOutside(*target)) {
    this->OnOutsideAnswer(now);
  }
  if (result.is_reachable && is_colder) {
    target->cold_until = now + result.cold_left;
    this->ReportHealth(*target, "cold", "health_answer", result.cold_left);
  }
  if (result.is_healthy) {
    this->Restore(*target, "health_answer");
    return;
  }
  ++target->failed_probes;
  if (result.is_reachable) {
    ++target->unhealthy_probes;
  } else if (!result.is_unclear) {
    target->unhealthy_probes = 0;
    this->Eject(*target, "no_health_answer", now);
    target->is_only_silent = false;
  }
  // One that was never ejected and can be reached stays in use.
}

void LoadBalancer::LearnOutliers(const HostId& control_host,
                                 std::optional<std::vector<TargetOutlier>> told,
                                 TimePoint now) {
  if (this->outliers.Update(control_host, std::move(told), now)) {
    this->ApplyOutliers();
  }
}

void LoadBalancer::ForgetOldOutliers(TimePoint now) {
  if (this->outliers.ExpireLists(now)) {
    this->ApplyOutliers();
  }
}

void LoadBalancer::ApplyOutliers() {
  for (auto& [id, target] : this->targets) {
    target.shared_failures = 0;
    target.shared_slowdown = 1;
  }
  for (const auto& [id, outlier] : this->outliers.WorstByTarget()) {
    if (BalancedTarget* const target = this->Get(id)) {
      target->shared_failures =
          static_cast<double>(outlier.failed) / TargetOutlier::kFailedUnits;
      target->shared_slowdown = static_cast<double>(outlier.slowdown);
    }
  }
}

// Only what a target itself did is shared: answers, refusals, broken and late
// answers. That it can't be reached from here says nothing about the way from
// another zone.
void LoadBalancer::ShareOutcome(const BalancedTarget& target,
                                TargetOutcomes seen) {
  if (this->options.on_outcomes) {
    seen.target = target.record.id;
    const bool is_slow =
        seen.timed > 0 && static_cast<double>(seen.latency_us) * kNsInUs >
                              kBadLatency * target.service->latency;
    this->options.on_outcomes(seen, seen.failed > 0 || is_slow);
  }
}

}  // namespace knapweedroad
