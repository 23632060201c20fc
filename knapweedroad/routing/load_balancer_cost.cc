// The part of LoadBalancer that estimates the cost of a target.

#include <algorithm>
#include <array>
#include <random>

#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/target_cost.h"

namespace knapweedroad {
namespace {

// The cost factor for a target of another zone. Its answers cause traffic
// between zones, and latencies smoothed from few values differ by chance.
constexpr double kOtherZoneFactor = 1.6;
// The cost factors if the request prefers certain zones, by their order, and
// for the remaining zones. The partial answers from one preferred zone are sent
// to this zone together.
constexpr std::array kPreferredZoneFactors = {1.3, 1.6};
constexpr double kUnpreferredZoneFactor = 2.1;

// One cost estimate in this many ignores the outlier lists, so that some host
// detects when a target has recovered.
constexpr unsigned kIgnoreOutliersOneIn = 300;

}  // namespace

double LoadBalancer::ZoneFactor(const BalancedTarget& target,
                                std::span<const ZoneId> preferred_zones) const {
  if (!this->IsInOtherZone(target)) {
    return 1;
  }
  if (preferred_zones.empty()) {
    return kOtherZoneFactor;
  }
  const auto found = std::ranges::find(preferred_zones, target.record.zone);
  const auto rank = static_cast<size_t>(found - preferred_zones.begin());
  return rank < kPreferredZoneFactors.size() && found != preferred_zones.end()
             ? kPreferredZoneFactors[rank]
             : kUnpreferredZoneFactor;
}

double LoadBalancer::EstimateCost(const BalancedTarget& target,
                                  std::span<const ZoneId> preferred_zones,
                                  bool is_extra_attempt,
                                  TimePoint now) {
  const BalancedService& service = *target.service;
  const bool are_connections_scarce = now < this->connections_scarce_until;
  // Only where targets report their service time, as in other deployments
  // requests are divided as before.
  const bool are_connections_shared =
      service.reports_service_time && service.max_connections > 0 &&
      this->connection_share.SubsetSize(service.targets.size(),
                                        service.max_connections) <
          service.targets.size();
  const bool needs_connection =
      (are_connections_scarce || are_connections_shared) &&
      this->options.has_idle_connection &&
      !this->options.has_idle_connection(target.record.id);
  const CostContext context{
      .usual_latency_ns = service.latency_ns,
      .uses_shared_outcomes = this->random() % kIgnoreOutliersOneIn != 0,
      .is_extra_attempt = is_extra_attempt,
      .zone_factor = this->ZoneFactor(target, preferred_zones),
      .is_outside_subset = !this->IsInSubset(target),
      .needs_scarce_connection = are_connections_scarce && needs_connection,
      .needs_shared_connection = are_connections_shared && needs_connection};
  // A random factor of up to 2% breaks ties.
  return CostOf(target, context, now) *
         (1 + 0.02 * static_cast<double>(this->random()) /
                  static_cast<double>(std::minstd_rand::max()));
}

}  // namespace knapweedroad
