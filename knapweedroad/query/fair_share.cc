#include "knapweedroad/query/fair_share.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace knapweedroad {

std::vector<double> FairShares(double capacity,
                               std::span<const Demand> demands) {
  std::vector<size_t> order(demands.size());
  std::iota(order.begin(), order.end(), size_t{0});
  // Who wants least for its weight is satisfied first.
  std::ranges::sort(order, [&demands](size_t left, size_t right) {
    return demands[left].demand / demands[left].weight <
           demands[right].demand / demands[right].weight;
  });
  double weights = 0.0;
  for (const Demand& demand : demands) {
    weights += demand.weight;
  }
  std::vector<double> shares(demands.size(), 0.0);
  for (const size_t index : order) {
    const Demand& demand = demands[index];
    shares[index] = std::min(demand.demand, capacity * demand.weight / weights);
    capacity -= shares[index];
    weights -= demand.weight;
  }
  return shares;
}

}  // namespace knapweedroad
