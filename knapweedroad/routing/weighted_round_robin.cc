#include "knapweedroad/routing/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

namespace knapweedroad {

const ServiceId& WeightedRoundRobin::Next(const RouteConfig& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  State& state = this->state_by_route[route.name];
  if (state.services != route.services) {
    state.services = route.services;
    state.credits.assign(route.services.size(), 0);
  }
  double total = 0;
  for (size_t i = 0; i < state.credits.size(); ++i) {
    state.credits[i] += route.services[i].weight;
    total += route.services[i].weight;
  }
  size_t chosen = 0;
  for (size_t i = 0; i < state.credits.size(); ++i) {
    const bool is_eligible = route.services[i].weight > 0;
    if (is_eligible && (route.services[chosen].weight <= 0 ||
                        state.credits[i] > state.credits[chosen])) {
      chosen = i;
    }
  }
  state.credits[chosen] -= total;
  return route.services[chosen].service;
}

}  // namespace knapweedroad
