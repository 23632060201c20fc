// Divides a capacity by weighted max-min fairness.
//
//   auto shares = FairShares(10.0, {{.amount = 2, .weight = 1},
//                                   {.amount = 50, .weight = 1}});  // 2 and 8

#ifndef KNAPWEEDROAD_QUERY_FAIR_SHARE_H_
#define KNAPWEEDROAD_QUERY_FAIR_SHARE_H_

#include <span>
#include <vector>

namespace knapweedroad {

struct WeightedDemand {
  // In the unit of the capacity.
  double amount = 0.0;
  // Must be greater than zero.
  double weight = 1.0;
};

// Returns the share of `capacity` for each demand, in the same order. No share
// exceeds its demand, and capacity that a demand leaves unused is divided among
// the others in proportion to their weights.
std::vector<double> FairShares(double capacity,
                               std::span<const WeightedDemand> demands);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_FAIR_SHARE_H_
