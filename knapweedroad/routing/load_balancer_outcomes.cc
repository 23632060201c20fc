// The part of LoadBalancer that updates its targets from the outcomes of
// attempts and health probes.

#include "knapweedroad/routing/load_balancer.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/target_cost.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// The weight of a new value in the smoothed latency of a target.
constexpr double kLatencyWeight = 0.15;
// The weight of a new outcome in the smoothed share of failures.
constexpr double kFailureWeight = 0.3;
// A target is ejected as unresponsive if it has answered nothing for
// kUnresponsiveFactor times its usual latency, and for at least
// kMinUnresponsiveAge, which is longer than two of the pauses that targets
// occasionally make.
constexpr double kUnresponsiveFactor = 6;
constexpr Duration kMinUnresponsiveAge = milliseconds(450);
// The time until an attempt was abandoned is a lower bound of the latency. It
// is recorded as one if it exceeds this multiple of the usual latency of the
// service.
constexpr double kAbandonedFactor = 2;
constexpr double kAbandonedWeight = 0.3;
// Health probes are sent soon after a failure and then less often. Each host
// sends fewer of them if there are many hosts.
constexpr Duration kMinProbeInterval = milliseconds(400);
constexpr Duration kMinProbeIntervalPerHost = milliseconds(40);
constexpr size_t kProbeBackoffSteps = 4;
// For this time after a target rejected a connection, the host prefers targets
// to which it is connected. After a power loss of all hosts, targets still hold
// the previous connections, and a host that opens a second one leaves another
// host without any. Targets detect the dead connections within about ten
// seconds.
constexpr Duration kScarcityDuration = std::chrono::seconds(4);
// Targets detect within this time that the hosts at the other end of their
// connections have failed.
constexpr Duration kStaleConnectionTimeout = std::chrono::seconds(12);

}  // namespace

void LoadBalancer::OnSent(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    ++target->in_flight;
    target->sent_times.push_back(now);
    this->active_targets.insert(target);
  }
}

void LoadBalancer::EndAttempt(BalancedTarget& target) {
  if (target.in_flight > 0) {
    --target.in_flight;
  }
  // The attempt that ended is not identified, so the oldest send time is
  // removed. Send times only serve to detect a stalled target, and an answer
  // shows that the target isn't stalled.
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

void LoadBalancer::OnAnswered(const TargetId& id,
                              Duration latency,
                              const std::optional<TargetLoad>& load,
                              TimePoint now) {
  BalancedTarget* const target = this->Lookup(id);
  if (target == nullptr) {
    return;
  }
  this->EndAttempt(*target);
  this->RecordLoad(*target, load, now);
  this->RecordLatency(*target, static_cast<double>(latency.count()),
                      kLatencyWeight, {.answered = 1}, now);
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
    this->active_targets.insert(target);
  }
}

// After a power loss of all hosts, targets hold the previous connections for
// some seconds. If hosts kept their new connections, other hosts could not
// connect during that time. Later, a rejection affects only one host of many,
// and connections are kept because each new one costs the target time.
bool LoadBalancer::ShouldCloseConnections(TimePoint now) const {
  return now < this->connections_scarce_until &&
         now - this->options.started < kStaleConnectionTimeout;
}

// The failure directs the next attempts to other targets. The target is
// healthy, so it gets no health probe, which would need a connection as well.
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
  this->active_targets.insert(&target);
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
    target->slowdown.Forget();
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
  std::erase_if(this->active_targets, [](const BalancedTarget* target) {
    return target->sent_times.empty() && !target->is_ejected &&
           !target->needs_probe;
  });
  for (const BalancedTarget* const active : this->active_targets) {
    const BalancedTarget& target = *active;
    if (target.sent_times.empty() || target.is_ejected) {
      continue;
    }
    const double slowdown = std::max(1.0, target.slowdown.Factor(now));
    const double usual_ns =
        std::max(target.latency_ns * slowdown, target.service->latency_ns);
    const Duration max_silence = std::max<Duration>(
        kMinUnresponsiveAge,
        Duration(static_cast<int64_t>(kUnresponsiveFactor * usual_ns)));
    const TimePoint since =
        std::max(target.sent_times.front(), target.last_success);
    if (now - since > max_silence) {
      this->OnUnresponsive(target.record.id, now);
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

// Records the waiting time of an abandoned attempt as its latency. Otherwise a
// target that never answers would appear idle and fast.
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
  // The waiting time is a lower bound, so it must not lower the latency.
  const double slowdown = std::max(1.0, target->slowdown.Factor(now));
  if (latency_ns > kAbandonedFactor * usual_ns &&
      latency_ns > target->latency_ns * slowdown) {
    this->RecordLatency(*target, latency_ns, kAbandonedWeight, {}, now);
  }
}

// A target that restarts under the same ID is cold. Closed idle connections are
// the first sign of a restart, so a health probe is sent at once.
void LoadBalancer::OnIdleClosed(const TargetId& id, TimePoint now) {
  if (BalancedTarget* const target = this->Lookup(id)) {
    target->needs_probe = true;
    this->active_targets.insert(target);
    target->next_probe = std::min(target->next_probe, now);
    target->slowdown.Forget();
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
  for (BalancedTarget* const active : this->active_targets) {
    BalancedTarget& target = *active;
    const bool is_wanted =
        (target.is_ejected || target.needs_probe) &&
        target.record.phase != TargetPhase::kGone &&
        target.record.phase != TargetPhase::kLeaving &&
        !this->zones_out_of_service.contains(target.record.zone);
    const RoutedService* const service =
        this->routing == nullptr
            ? nullptr
            : this->routing->FindService(target.record.service);
    if (!is_wanted || service == nullptr || now < target.next_probe) {
      continue;
    }
    target.next_probe = now + this->ProbeInterval(target);
    due.push_back(
        {target.record.id, target.record.address, service->health_path});
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
  // Health answers are rare and only partly about this host's attempts, so they
  // count where targets report the state of their machine with them.
  if (result.load && result.load->service_time_percent > 0) {
    this->RecordLoad(*target, result.load, now);
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
  // A target that was not ejected before and is reachable stays in use, also if
  // it reports that it is unhealthy.
}

}  // namespace knapweedroad
