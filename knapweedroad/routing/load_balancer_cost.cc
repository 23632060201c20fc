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

LoadBalancer::PickContext LoadBalancer::MakePickContext(
    const BalancedService& service,
    std::span<const TargetId> tried,
    const PickPreferences& preferences,
    TimePoint now) {
  PickContext pick{
      .tried = tried, .preferred_zones = preferences.zones, .now = now};
  if (preferences.is_sent_by_other_host) {
    return pick;
  }
  // Only where targets report their service time, as in other deployments
  // requests are divided as before.
  pick.are_connections_shared =
      service.reports_service_time && service.max_connections > 0 &&
      this->connection_share.SubsetSize(service.targets.size(),
                                        service.max_connections) <
          service.targets.size();
  pick.are_connections_scarce = now < this->connections_scarce_until;
  pick.subset_end = this->SubsetEnd(service);
  return pick;
}

double LoadBalancer::EstimateCost(const BalancedTarget& target,
                                  double zone_factor,
                                  const PickContext& pick) {
  const bool needs_connection =
      (pick.are_connections_scarce || pick.are_connections_shared) &&
      this->options.has_idle_connection &&
      !this->options.has_idle_connection(target.record.id);
  const CostContext context{
      .usual_latency_ns = target.service->latency_ns,
      .uses_shared_outcomes = this->random() % kIgnoreOutliersOneIn != 0,
      .is_extra_attempt = !pick.tried.empty(),
      .zone_factor = zone_factor,
      .is_outside_subset =
          pick.subset_end && this->SubsetKeyOf(target) > *pick.subset_end,
      .needs_scarce_connection =
          pick.are_connections_scarce && needs_connection,
      .needs_shared_connection =
          pick.are_connections_shared && needs_connection};
  // A random factor of up to 2% breaks ties.
  return CostOf(target, context, pick.now) *
         (1 + 0.02 * static_cast<double>(this->random()) /
                  static_cast<double>(std::minstd_rand::max()));
}

}  // namespace knapweedroad
