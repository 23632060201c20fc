// Estimates the cost of an attempt on a target, by which the targets of one
// service are compared: its expected latency in ns, increased for a machine
// that is slow at the moment, load, failures, a stalled attempt and the
// target's zone.
//
//   double cost = CostOf(target, {.usual_latency_ns = 9e6}, now);

#ifndef KNAPWEEDROAD_ROUTING_TARGET_COST_H_
#define KNAPWEEDROAD_ROUTING_TARGET_COST_H_

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct BalancedTarget;

// The inputs to a target's cost that aren't part of the target's own state.
struct CostContext {
  // The usual latency of the service; zero if unknown.
  double usual_latency_ns = 0;
  // Whether outcomes that other hosts reported for the target are included.
  bool uses_shared_outcomes = true;
  // Whether the attempt is a hedge or a retry. It should be answered soon, so
  // that a target whose machine is slow at the moment costs more.
  bool is_extra_attempt = false;
  // Multiplies the cost for the zone that the target is in.
  double zone_factor = 1;
  // Whether the target is outside the subset of targets to which this host
  // keeps connections.
  bool is_outside_subset = false;
  // Whether the attempt needs a new connection while targets have refused
  // connections for lack of them.
  bool needs_scarce_connection = false;
  // Whether the attempt needs a new connection where hosts share too few.
  bool needs_shared_connection = false;
};

// Returns the expected cost in ns; lower is better.
double CostOf(const BalancedTarget& target,
              const CostContext& context,
              TimePoint now);

// Returns the smoothed share of failed attempts, from 0 to 1, which decays
// towards zero with time since the last outcome.
double FailureShare(const BalancedTarget& target, TimePoint now);

// Adds an outcome to the smoothed share of failures. `failure` is 1 for a
// failure and 0 for a success, or a value between. `weight`, from 0 to 1, is
// the weight of this outcome against the earlier ones.
void CountOutcome(BalancedTarget& target,
                  double failure,
                  double weight,
                  TimePoint now);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_TARGET_COST_H_
