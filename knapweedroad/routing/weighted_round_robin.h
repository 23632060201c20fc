// Distributes the requests of each route over its services in proportion to
// their weights (smooth weighted round robin).
//
//   WeightedRoundRobin rotation;
//   const ServiceId& service = rotation.Next(route);

#ifndef KNAPWEEDROAD_ROUTING_WEIGHTED_ROUND_ROBIN_H_
#define KNAPWEEDROAD_ROUTING_WEIGHTED_ROUND_ROBIN_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "knapweedroad/routing/route_config.h"

namespace knapweedroad {

// The proportions are exact over each full cycle. The state of a route,
// identified by its name, starts anew when its services or weights change.
class WeightedRoundRobin {
 public:
  // Returns the service for the route's next request. If the route has several
  // services, at least one must have a weight above 0, and those with weight 0
  // are never returned. The result is valid as long as `route`.
  const ServiceId& Next(const RouteConfig& route);

  // Drops the state of routes for whose name `keep` returns false.
  template <typename Keep>
  void Prune(Keep keep) {
    std::erase_if(this->state_by_route,
                  [&](const auto& entry) { return !keep(entry.first); });
  }

 private:
  struct State {
    std::vector<WeightedService> services;
    // The accumulated weight of each service, less the total of all weights for
    // each request that it got.
    std::vector<double> credits;
  };

  std::unordered_map<std::string, State> state_by_route;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_WEIGHTED_ROUND_ROBIN_H_
