#include "knapweedroad/query/fair_share.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace knapweedroad {

std::vector<double> FairShares(double capacity,
                               std::span<const WeightedDemand> demands) {
  std::vector<size_t> order(demands.size());
  std::iota(order.begin(), order.end(), size_t{0});
  // The smallest demand relative to its weight is served first, so that what it
  // leaves unused is divided among the rest.
  std::ranges::sort(order, [&demands](size_t left, size_t right) {
    return demands[left].amount / demands[left].weight <
           demands[right].amount / demands[right].weight;
  });
  double remaining_weight = 0.0;
  for (const WeightedDemand& demand : demands) {
    remaining_weight += demand.weight;
  }
  std::vector<double> shares(demands.size(), 0.0);
  for (const size_t index : order) {
    const WeightedDemand& demand = demands[index];
    shares[index] =
        std::min(demand.amount, capacity * demand.weight / remaining_weight);
    capacity -= shares[index];
    remaining_weight -= demand.weight;
  }
  return shares;
}

}  // namespace knapweedroad
