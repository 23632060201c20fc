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
constexpr double kUnresponsiveFactor = 6;
constexpr Duration kMinUnresponsiveAge = milliseconds(450);
// An attempt given up after this many usual latencies tells how slow its target
// is at the least.
constexpr double kAbandonedFactor = 2;
constexpr double kAbandonedWeight = 0.3;
// Health questions: soon after the failure, then spread out; each host's share
// of them shrinks with the number of hosts.
constexpr Duration kMinProbeInterval = milliseconds(400);
constexpr Duration kMinProbeIntervalPerHost = milliseconds(40);
constexpr size_t kProbeBackoffSteps = 4;
// After a target has turned a connection away, for this long a host keeps to
// the targets that it is connected to: all hosts have lost their power, the
// targets still hold the connections of before, and a host that takes a second
// place leaves another without any. Targets notice within about ten seconds.
constexpr Duration kScarcityDuration = std::chrono::seconds(4);
// Targets notice within this that the hosts of their connections are gone.
constexpr Duration kStaleConnectionTimeout = std::chrono::seconds(12);

// An attempt that takes so many times as long as usual is told of at once.
constexpr double kSlowFactor = 3;
constexpr double kNsPerUs = 1e3;

}  // namespace

void LoadBalancer::OnSent(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    ++target->in_flight;
    target->sent_times.push_back(now);
  }
}

void LoadBalancer::EndAttempt(BalancedTarget& target) {
  if (target.in_flight > 0) {
    --target.in_flight;
  }
  // Which attempt ended isn't known here; the oldest is latency_ns for it
  // unless only its age matters: an answer shows that the target is not
  // stalled.
  if (!target.sent_times.empty()) {
    target.sent_times.erase(target.sent_times.begin());
  }
}

void LoadBalancer::ReportHealthChange(const BalancedTarget& target,
                                      std::string_view health,
                                      std::string_view cause,
                                      Duration duration) const {
  if (this->options.on_health_change) {
    this->options.on_health_change({.target = target.record.id,
                                    .health = health,
                                    .cause = cause,
                                    .duration = duration});
  }
}

void LoadBalancer::Restore(BalancedTarget& target, std::string_view cause) {
  if (std::exchange(target.is_ejected, false)) {
    this->ReportHealthChange(target, "restored", cause);
  }
  target.is_ejected_as_unresponsive = false;
  target.needs_probe = false;
  target.failed_probes = 0;
  target.unhealthy_probes = 0;
}

void LoadBalancer::RecordLatency(BalancedTarget& target,
                                 double latency_ns,
                                 double weight,
                                 TargetOutcomes outcome,
                                 TimePoint now) {
  target.latency_ns =
      target.latency_ns <= 0
          ? latency_ns
          : target.latency_ns * (1 - weight) + latency_ns * weight;
  target.latency_at = now;
  outcome.timed = 1;
  outcome.latency_us = static_cast<uint64_t>(latency_ns / kNsPerUs);
  this->ReportOutcome(target, std::move(outcome));
  BalancedService& service = *target.service;
  service.latency_ns = service.latency_ns <= 0
                           ? latency_ns
                           : service.latency_ns * (1 - kServiceLatencyWeight) +
                                 latency_ns * kServiceLatencyWeight;
}

void LoadBalancer::RecordLoad(BalancedTarget& target,
                              const std::optional<TargetLoad>& load,
                              TimePoint now) {
  if (!load) {
    return;
  }
  target.load = *load;
  target.load_at = now;
  target.limit.OnLoadReport(*load, target.record.slots,
                            this->ConnectionCap(target, now));
}

void LoadBalancer::OnAnswered(const TargetId& id,
                              Duration latency,
                              const std::optional<TargetLoad>& load,
                              TimePoint now) {
  BalancedTarget* const target = this->Lookup(id);
  if (target == nullptr) {
    return;
  }
  this->EndAttempt(*target);
  this->RecordLatency(*target, static_cast<double>(latency.count()),
                      kLatencyWeight, {.answered = 1}, now);
  this->RecordLoad(*target, load, now);
  CountOutcome(*target, 0, kFailureWeight, now);
  target->last_success = now;
  if (this->IsInOtherZone(*target)) {
    this->OnOtherZoneAnswered(now);
  }
  this->Restore(*target, "answered");
}

void LoadBalancer::OnDeclined(const TargetId& id,
                              const std::optional<TargetLoad>& load,
                              TimePoint now) {
  BalancedTarget* const target = this->Lookup(id);
  if (target == nullptr) {
    return;
  }
  this->EndAttempt(*target);
  this->RecordLoad(*target, load, now);
  CountOutcome(*target, 1, kFailureWeight, now);
  this->ReportOutcome(*target, {.failed = 1});
}

void LoadBalancer::OnFailed(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    this->EndAttempt(*target);
    CountOutcome(*target, 1, kFailureWeight, now);
    this->ReportOutcome(*target, {.failed = 1});
  }
}

void LoadBalancer::OnBroken(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    this->EndAttempt(*target);
    CountOutcome(*target, 1, kFailureWeight, now);
    this->ReportOutcome(*target, {.failed = 1});
    target->needs_probe = true;
  }
}

// After a loss of power targets hold their old connections for a while. Keeping
// new ones would lock other hosts out for as long; later, a host that is turned
// away is one of many, and each new connection costs the target time.
bool LoadBalancer::ShouldCloseConnections(TimePoint now) const {
  return now < this->connections_scarce_until &&
         now - this->options.started < kStaleConnectionTimeout;
}

// The next attempts go elsewhere, but it is sound: no health question, which
// would need a connection as well.
void LoadBalancer::OnConnectionRejected(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    this->EndAttempt(*target);
    CountOutcome(*target, 1, kFailureWeight, now);
    this->connections_scarce_until = now + kScarcityDuration;
  }
}

void LoadBalancer::Eject(BalancedTarget& target,
                         std::string_view cause,
                         TimePoint now) {
  CountOutcome(target, 1, 1, now);
  if (!std::exchange(target.is_ejected, true)) {
    const TimePoint since =
        target.sent_times.empty() ? now : target.sent_times.front();
    this->ReportHealthChange(target, "ejected", cause, now - since);
  }
  target.needs_probe = true;
  if (this->IsInOtherZone(target)) {
    this->zone_reachability.OnUnanswered(target.record.id);
  }
  target.sent_times.clear();
}

void LoadBalancer::OnUnreachable(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    this->EndAttempt(*target);
    this->Eject(*target, "unreachable", now);
    target->is_ejected_as_unresponsive = false;
  }
}

void LoadBalancer::OnUnresponsive(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    const bool was_ejected = target->is_ejected;
    this->Eject(*target, "silent", now);
    target->is_ejected_as_unresponsive =
        !was_ejected || target->is_ejected_as_unresponsive;
  }
}

void LoadBalancer::EjectUnresponsive(TimePoint now) {
  for (auto& [id, target] : this->targets) {
    if (target.sent_times.empty() || target.is_ejected) {
      continue;
    }
    const double usual_ns =
        std::max(target.latency_ns, target.service->latency_ns);
    const Duration max_silence = std::max<Duration>(
        kMinUnresponsiveAge,
        Duration(static_cast<int64_t>(kUnresponsiveFactor * usual_ns)));
    const TimePoint since =
        std::max(target.sent_times.front(), target.last_success);
    if (now - since > max_silence) {
      this->OnUnresponsive(id, now);
    }
  }
}

void LoadBalancer::OnOtherTargetAnswered(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    this->EndAttempt(*target);
    target->record.phase = TargetPhase::kGone;
    CountOutcome(*target, 1, 1, now);
    this->ReportHealthChange(*target, "gone", "another_at_its_address");
  }
}

// Attempts that are given up count with the time they waited; otherwise a
// target that never answers would look idle and fast.
void LoadBalancer::OnAbandoned(const TargetId& id,
                               Duration waited,
                               TimePoint now) {
  BalancedTarget* const target = this->Lookup(id);
  if (target == nullptr) {
    return;
  }
  this->EndAttempt(*target);
  const auto latency_ns = static_cast<double>(waited.count());
  const double usual_ns = target->service->latency_ns;
  if (latency_ns > kAbandonedFactor * usual_ns &&
      latency_ns > target->latency_ns) {
    this->RecordLatency(*target, latency_ns, kAbandonedWeight, {}, now);
  }
}

// A target that restarts under its id is cold. Closed idle connections are the
// first sign of it, so a health question goes before the next request.
void LoadBalancer::OnIdleClosed(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    target->needs_probe = true;
    target->next_probe = std::min(target->next_probe, now);
  }
}

Duration LoadBalancer::ProbeInterval(const BalancedTarget& target) const {
  const auto hosts = static_cast<int64_t>(this->connection_share.host_count());
  const Duration min_interval =
      std::max(kMinProbeInterval, kMinProbeIntervalPerHost * hosts);
  const auto backoff_steps = std::min(target.failed_probes, kProbeBackoffSteps);
  return min_interval + min_interval * static_cast<int64_t>(backoff_steps) / 2;
}

std::vector<DueProbe> LoadBalancer::DueProbes(TimePoint now) {
  std::vector<DueProbe> due;
  for (auto& [id, target] : this->targets) {
    const bool is_wanted = (target.is_ejected || target.needs_probe) &&
                           target.record.phase != TargetPhase::kGone &&
                           target.record.phase != TargetPhase::kLeaving &&
                           !this->evacuated_zones.contains(target.record.zone);
    const RoutedService* const service =
        this->routing == nullptr
            ? nullptr
            : this->routing->FindService(target.record.service);
    if (!is_wanted || service == nullptr || now < target.next_probe) {
      continue;
    }
    target.next_probe = now + this->ProbeInterval(target);
    due.push_back({id, target.record.address, service->health_path});
  }
  return due;
}

void LoadBalancer::OnProbeResult(const TargetId& id,
                                 const ProbeResult& result,
                                 TimePoint now) {
  BalancedTarget* const target = this->Lookup(id);
  if (target == nullptr) {
    return;
  }
  if (result.is_other_target) {
    target->record.phase = TargetPhase::kGone;
    this->ReportHealthChange(*target, "gone", "another_at_its_address");
    return;
  }
  const bool is_colder = result.cold_left > Duration::zero() &&
                         now + result.cold_left > target->cold_until;
  if (result.is_reachable && this->IsInOtherZone(*target)) {
    this->OnOtherZoneAnswered(now);
  }
  if (result.is_reachable && is_colder) {
    target->cold_until = now + result.cold_left;
    this->ReportHealthChange(*target, "cold", "health_answer",
                             result.cold_left);
  }
  if (result.is_healthy) {
    this->Restore(*target, "health_answer");
    return;
  }
  ++target->failed_probes;
  if (result.is_reachable) {
    ++target->unhealthy_probes;
  } else if (!result.is_inconclusive) {
    target->unhealthy_probes = 0;
    this->Eject(*target, "no_health_answer", now);
    target->is_ejected_as_unresponsive = false;
  }
  // One that was never ejected and can be reached stays in use.
}

void LoadBalancer::UpdateOutliers(
    const HostId& control_host,
    std::optional<std::vector<TargetOutlier>> outliers,
    TimePoint now) {
  if (this->outliers.Update(control_host, std::move(outliers), now)) {
    this->ApplyOutliers();
  }
}

void LoadBalancer::ExpireOutliers(TimePoint now) {
  if (this->outliers.ExpireLists(now)) {
    this->ApplyOutliers();
  }
}

void LoadBalancer::ApplyOutliers() {
  for (auto& [id, target] : this->targets) {
    target.shared_failure_share = 0;
    target.shared_slowdown = 1;
  }
  for (const auto& [id, outlier] : this->outliers.WorstByTarget()) {
    if (BalancedTarget* const target = this->Lookup(id)) {
      target->shared_failure_share =
          static_cast<double>(outlier.failed) / TargetOutlier::kFailedUnits;
      target->shared_slowdown = static_cast<double>(outlier.slowdown);
    }
  }
}

// Only what a target itself did is shared: answers, refusals, broken and late
// answers. That it can't be reached from here says nothing about the way from
// another zone.
void LoadBalancer::ReportOutcome(const BalancedTarget& target,
                                 TargetOutcomes outcome) {
  if (this->options.on_outcome) {
    outcome.target = target.record.id;
    const bool is_slow = outcome.timed > 0 &&
                         static_cast<double>(outcome.latency_us) * kNsPerUs >
                             kSlowFactor * target.service->latency_ns;
    this->options.on_outcome(outcome, outcome.failed > 0 || is_slow);
  }
}

}  // namespace knapweedroad
