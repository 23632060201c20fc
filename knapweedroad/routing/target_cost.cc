#include "knapweedroad/routing/target_cost.h"

#include <algorithm>
#include <cmath>

#include "knapweedroad/routing/balanced_target.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// Without new answers, half of the weight of a target's latency passes to an
// assumed latency in each half-life. That is slightly better than usual, so
// that a target that was slow is tried again after some seconds.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(3);
constexpr double kUnknownLatencyFactor = 0.8;
// The half-life of a target's reported load. With a shorter one a host would
// consider only its own requests, and the hosts of a zone would overload the
// target in their zone while others are idle.
constexpr Duration kLoadHalfLife = milliseconds(120);
// The half-life of failures. Where there are many hosts, each sends a request
// to a target only every two seconds, and a failure must still count at the
// next.
constexpr Duration kFailureHalfLife = std::chrono::seconds(4);
// A target that always fails costs as much as one that is nine times as slow.
constexpr double kFailureCostFactor = 8;
// The factor for the failures that all hosts of the zone report, multiplied by
// the square of their share. If few attempts fail, a retry corrects nearly all
// failures. If many fail, the retry budget is used up and requests are lost.
constexpr double kSharedFailureCostFactor = 100;
// The factor for a target to which this host keeps no connections. A new
// connection occupies a slot for some milliseconds and may exceed the target's
// connection limit.
constexpr double kOutsideSubsetFactor = 2;
// An attempt counts as stalled if it is unanswered for kStallFactor times the
// target's expected latency and for more than kMinStallAge. Targets pause for
// about a tenth of a second every few seconds.
constexpr double kStallFactor = 3;
constexpr Duration kMinStallAge = milliseconds(15);
// The expected latency where neither the target's nor the service's is known.
constexpr Duration kDefaultLatency = milliseconds(10);
// The factor for an attempt that needs a new connection after targets refused
// one. Hosts then prefer their present connections, as a host that opens a
// second one leaves another host without any.
constexpr double kScarceConnectionFactor = 4;

// The factor for an attempt that needs a new connection where there are more
// entry hosts than connections. A new one takes time of the target. With a
// higher factor hosts keep to targets whose machines are slow.
constexpr double kSharedConnectionFactor = 1.4;
// The factor for a hedge or a retry on a target whose machine is slow at the
// moment, in addition to its slowdown. It exceeds the factor of another zone,
// as an extra attempt on a slow machine seldom shortens the wait.
constexpr double kSlowExtraAttemptFactor = 2;

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
  if (target.latency_ns <= 0) {
    return usual;
  }
  const double retained = Decay(now - target.latency_at, kLatencyHalfLife);
  return target.latency_ns * retained +
         kUnknownLatencyFactor * usual * (1 - retained);
}

double StallCost(const BalancedTarget& target, double latency, TimePoint now) {
  if (target.sent_times.empty()) {
    return 0;
  }
  const auto age =
      static_cast<double>((now - target.sent_times.front()).count());
  const double min_age = std::max(kStallFactor * latency,
                                  static_cast<double>(kMinStallAge.count()));
  return age > min_age ? kStallFactor * age : 0;
}

}  // namespace

double FailureShare(const BalancedTarget& target, TimePoint now) {
  return target.failure_share *
         Decay(now - target.failure_share_at, kFailureHalfLife);
}

void CountOutcome(BalancedTarget& target,
                  double failure,
                  double weight,
                  TimePoint now) {
  target.failure_share =
      FailureShare(target, now) * (1 - weight) + weight * failure;
  target.failure_share_at = now;
}

double CostOf(const BalancedTarget& target,
              const CostContext& context,
              TimePoint now) {
  // The latency that other hosts measured contains the slowdown already.
  double latency = ExpectedLatency(target, context.usual_latency_ns, now) *
                   target.slowdown.Factor(now);
  double failure_cost = kFailureCostFactor * FailureShare(target, now);
  if (context.uses_shared_outcomes) {
    failure_cost = std::max(failure_cost, kSharedFailureCostFactor *
                                              target.shared_failure_share *
                                              target.shared_failure_share);
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
  // A target that refuses many requests answers the others quickly. A failure
  // therefore costs at least the service's usual latency, which is the time of
  // another attempt.
  const double loaded_latency = latency * (1 + requests_per_slot);
  double cost =
      loaded_latency +
      failure_cost * std::max(loaded_latency, context.usual_latency_ns);
  cost += StallCost(target, latency, now);
  cost *= context.zone_factor;
  cost *= context.is_extra_attempt && target.slowdown.IsSlow(now)
              ? kSlowExtraAttemptFactor
              : 1;
  cost *= context.is_outside_subset ? kOutsideSubsetFactor : 1;
  cost *= context.needs_scarce_connection ? kScarceConnectionFactor : 1;
  cost *= context.needs_shared_connection ? kSharedConnectionFactor : 1;
  return cost;
}

}  // namespace knapweedroad
