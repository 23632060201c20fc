// What an attempt on a target is expected to cost, to compare targets of one
// service by: its latency in ns, made worse by load, failures and distance.
//
//   double cost = CostOf(state, {.usual_latency_ns = 9e6}, now);

#ifndef KNAPWEEDROAD_ROUTING_TARGET_COST_H_
#define KNAPWEEDROAD_ROUTING_TARGET_COST_H_

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct BalancedTarget;

struct CostContext {
  // Of the service, in ns; zero: none known yet.
  double usual_latency_ns = 0;
  // Whether what other hosts say of the target counts.
  bool uses_shared_outcomes = true;
  // How many times slower the target counts for the zone that it is in.
  double zone_factor = 1;
  // This host keeps no connections to it by plan.
  bool is_outside_subset = false;
  // It would need a new connection while targets are short of them.
  bool needs_scarce_connection = false;
};

double CostOf(const BalancedTarget& target,
              const CostContext& context,
              TimePoint now);

// The share of attempts that fail, as far as still known.
double FailureShare(const BalancedTarget& target, TimePoint now);

// Takes an outcome in: 1 a failure, 0 a success.
void CountOutcome(BalancedTarget& target,
                  double failure,
                  double weight,
                  TimePoint now);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_TARGET_COST_H_
