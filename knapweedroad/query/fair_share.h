// Weighted max-min fairness.
//
//   auto shares = FairShares(10.0, {{.amount = 2, .weight = 1},
//                                   {.amount = 50, .weight = 1}});  // 2 and 8

#ifndef KNAPWEEDROAD_QUERY_FAIR_SHARE_H_
#define KNAPWEEDROAD_QUERY_FAIR_SHARE_H_

#include <span>
#include <vector>

namespace knapweedroad {

struct WeightedDemand {
  double amount = 0.0;
  // Above zero.
  double weight = 1.0;
};

// What each may have of `capacity`, in the order given: nobody more than its
// demand, and what one leaves over goes to the others by their
// remaining_weight.
std::vector<double> FairShares(double capacity,
                               std::span<const WeightedDemand> demands);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_FAIR_SHARE_H_
