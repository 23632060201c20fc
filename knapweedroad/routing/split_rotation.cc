#include "knapweedroad/routing/split_rotation.h"

#include <algorithm>
#include <numeric>

namespace knapweedroad {

const ServiceId& SplitRotation::Next(const RouteConfig& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  State& state = this->by_route[route.name];
  if (state.services != route.services) {
    state.services = route.services;
    state.owed.assign(route.services.size(), 0);
  }
  double total = 0;
  for (size_t i = 0; i < state.owed.size(); ++i) {
    state.owed[i] += route.services[i].weight;
    total += route.services[i].weight;
  }
  size_t chosen = 0;
  for (size_t i = 0; i < state.owed.size(); ++i) {
    const bool carries = route.services[i].weight > 0;
    if (carries && (route.services[chosen].weight <= 0 ||
                    state.owed[i] > state.owed[chosen])) {
      chosen = i;
    }
  }
  state.owed[chosen] -= total;
  return route.services[chosen].service;
}

}  // namespace knapweedroad
