// Deals a route's requests out to its services in the proportions of their
// weights, exactly over any longer run (smooth weighted round robin).
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

class WeightedRoundRobin {
 public:
  // Which service of the route takes the next request; one of weight 0 never
  // does. The route has at least one service of a weight above 0.
  const ServiceId& Next(const RouteConfig& route);

  // Drops the routes for which `keep` is false.
  template <typename Keep>
  void Prune(Keep keep) {
    std::erase_if(this->state_by_route,
                  [&](const auto& entry) { return !keep(entry.first); });
  }

 private:
  struct State {
    std::vector<WeightedService> services;
    // How far each service is behind its share.
    std::vector<double> credits;
  };

  std::unordered_map<std::string, State> state_by_route;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_WEIGHTED_ROUND_ROBIN_H_
