#include "knapweedroad/routing/target_cost.h"

#include <algorithm>
#include <cmath>

#include "knapweedroad/routing/balanced_target.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// A latency not confirmed for this long is half forgotten, and what is not
// known is taken for a little better than usual: a target that was slow is
// tried again after some seconds.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(3);
constexpr double kUnknownLatencyFactor = 0.8;
// What a target says of its load is half out of date after this. With less
// memory a host would know of its own requests alone, and a zone's hosts would
// go on filling their own zone's target while the others are free.
constexpr Duration kLoadHalfLife = milliseconds(120);
// Failures are half forgotten after this: a host of many asks a target only
// every other second, and must remember from one request to the next.
constexpr Duration kFailureHalfLife = std::chrono::seconds(4);
// A target that fails every time costs like one nine times as slow.
constexpr double kFailureCostFactor = 8;
// The same where all hosts together know it, by the square of the share: with
// few failures a retry mends nearly all; with many, retries run out, and what
// fails is lost.
constexpr double kSharedFailureCostFactor = 100;
// What a target costs to which this host keeps no connections: a new one holds
// a slot for some milliseconds, and may be over the target's cap.
constexpr double kOutsideSubsetFactor = 2;
// An attempt unanswered for this many usual latencies counts as stalled, and
// not before kMinStallAge: pauses of a tenth of a second come every few
// seconds.
constexpr double kStallFactor = 3;
constexpr Duration kMinStallAge = milliseconds(15);
constexpr Duration kDefaultLatency = milliseconds(10);
// After a target has turned a connection away a host keeps to those that it
// has: a host that takes a second place leaves another without any.
constexpr double kScarceConnectionFactor = 4;

double Decay(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

double ExpectedLatency(const BalancedTarget& target,
                       double usual_latency_ns,
                       TimePoint now) {
  const double usual = usual_latency_ns > 0
                           ? usual_latency_ns
                           : static_cast<double>(kDefaultLatency.count());
  if (target.latency <= 0) {
    return usual;
  }
  const double retained = Decay(now - target.latency_at, kLatencyHalfLife);
  return target.latency * retained +
         kUnknownLatencyFactor * usual * (1 - retained);
}

double StallCost(const BalancedTarget& target, double latency, TimePoint now) {
  if (target.sent.empty()) {
    return 0;
  }
  const auto age = static_cast<double>((now - target.sent.front()).count());
  const double min_age = std::max(kStallFactor * latency,
                                  static_cast<double>(kMinStallAge.count()));
  return age > min_age ? kStallFactor * age : 0;
}

}  // namespace

double FailureShare(const BalancedTarget& target, TimePoint now) {
  return target.failures * Decay(now - target.failures_at, kFailureHalfLife);
}

void CountOutcome(BalancedTarget& target,
                  double failure,
                  double weight,
                  TimePoint now) {
  target.failures = FailureShare(target, now) * (1 - weight) + weight * failure;
  target.failures_at = now;
}

double CostOf(const BalancedTarget& target,
              const CostContext& context,
              TimePoint now) {
  double latency = ExpectedLatency(target, context.usual_latency_ns, now);
  double failure_cost = kFailureCostFactor * FailureShare(target, now);
  if (context.uses_shared_outcomes) {
    failure_cost = std::max(failure_cost, kSharedFailureCostFactor *
                                              target.shared_failures *
                                              target.shared_failures);
    if (target.shared_slowdown > 1) {
      latency =
          std::max(latency, context.usual_latency_ns * target.shared_slowdown);
    }
  }
  const double reported =
      static_cast<double>(target.load.running + target.load.waiting) *
      Decay(now - target.load_at, kLoadHalfLife);
  const double slots = std::max<double>(1, target.record.slots);
  const double requests_per_slot =
      std::max(reported, static_cast<double>(target.in_flight)) / slots;
  // A target that refuses much of its work is fast with the rest. A failure
  // therefore costs at least the service's usual latency, the time of another
  // attempt.
  const double loaded_latency = latency * (1 + requests_per_slot);
  double cost =
      loaded_latency +
      failure_cost * std::max(loaded_latency, context.usual_latency_ns);
  cost += StallCost(target, latency, now);
  cost *= context.zone_factor;
  cost *= context.is_outside_subset ? kOutsideSubsetFactor : 1;
  cost *= context.needs_scarce_connection ? kScarceConnectionFactor : 1;
  return cost;
}

}  // namespace knapweedroad
