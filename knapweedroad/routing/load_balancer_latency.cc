// The part of LoadBalancer that records measured latencies, the loads that
// targets report, and what other hosts have measured.

#include <algorithm>
#include <utility>

#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

// The weight of a new value in the smoothed latency of a service.
constexpr double kServiceLatencyWeight = 0.02;
// The weight of a report in the usual service time of a service.
constexpr double kUsualPercentWeight = 0.02;
// Greater reports count as this one there, so that a single false one doesn't
// change the usual value much.
constexpr double kMaxUsualPercent = 1000;
// An attempt that takes this many times the usual latency is reported to other
// hosts at once.
constexpr double kSlowFactor = 3;
constexpr double kNsPerUs = 1e3;

}  // namespace

// The cost multiplies a target's latency by the slowdown of the moment, so the
// slowdown that a measured latency already contains is divided out. The first
// latency of a target is moved no further than to the usual one, as it can't
// show yet whether the target reports truly.
double LoadBalancer::LatencyAtUsualSpeed(BalancedTarget& target,
                                         double latency_ns,
                                         TimePoint now) {
  if (target.latency_ns > 0) {
    target.slowdown.OnLatency(latency_ns / target.latency_ns, now);
    return latency_ns / target.slowdown.Factor(now);
  }
  const double usual_ns =
      target.service->latency_ns > 0 ? target.service->latency_ns : latency_ns;
  return std::clamp(latency_ns / target.slowdown.Factor(now),
                    std::min(latency_ns, usual_ns),
                    std::max(latency_ns, usual_ns));
}

void LoadBalancer::RecordLatency(BalancedTarget& target,
                                 double latency_ns,
                                 double weight,
                                 TargetOutcomes outcome,
                                 TimePoint now) {
  const double usual_latency_ns = LatencyAtUsualSpeed(target, latency_ns, now);
  target.latency_ns =
      target.latency_ns <= 0
          ? usual_latency_ns
          : target.latency_ns * (1 - weight) + usual_latency_ns * weight;
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
  if (load->service_time_percent > 0) {
    BalancedService& service = *target.service;
    target.slowdown.OnReport(load->service_time_percent, service.usual_percent,
                             now);
    service.reports_service_time = true;
    service.usual_percent +=
        kUsualPercentWeight *
        (std::min<double>(load->service_time_percent, kMaxUsualPercent) -
         service.usual_percent);
  }
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
  for (const TargetId& id : this->applied_outliers) {
    if (BalancedTarget* const target = this->Lookup(id)) {
      target->shared_failure_share = 0;
      target->shared_slowdown = 1;
    }
  }
  this->applied_outliers.clear();
  for (const auto& [id, outlier] : this->outliers.WorstByTarget()) {
    if (BalancedTarget* const target = this->Lookup(id)) {
      target->shared_failure_share =
          static_cast<double>(outlier.failed) / TargetOutlier::kFailedUnits;
      target->shared_slowdown = static_cast<double>(outlier.slowdown);
      this->applied_outliers.push_back(id);
    }
  }
}

// Only outcomes that the target itself caused are shared: answers, refusals,
// and broken or late answers. A connection failure is not shared, as it doesn't
// show whether the target can be reached from another zone.
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
