// One route of a routing configuration: which requests it takes, which
// services run them, and what their callers expect.

#ifndef KNAPWEEDROAD_ROUTING_ROUTE_CONFIG_H_
#define KNAPWEEDROAD_ROUTING_ROUTE_CONFIG_H_

#include <cstddef>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// A service of a route and its part of the route's requests.
struct WeightedService {
  ServiceId service;
  // Relative to the route's other services; unused on a scatter route.
  double weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

struct RouteConfig {
  std::string name;
  // Lower case, without a port.
  std::string host_name;
  // Begins and ends with a slash.
  std::string path_prefix;
  // Whether a request may run more than once without harm.
  bool idempotent = false;
  // The longest that a caller is kept waiting.
  Duration timeout{};
  // Answers within this time are worth most to the caller.
  Duration latency_target{};
  // One: all requests go there. Several: by weight, or, on a scatter route,
  // every request goes to all of them.
  std::vector<WeightedService> services;
  bool is_scatter = false;
  // Targets that one request may be sent to, for each service of a scatter.
  size_t max_attempts = 1;
  // Records in a scatter's answer.
  size_t top_records = 0;
  // The least share of the services that makes a scatter's answer a success.
  double min_share = 0;

  friend bool operator==(const RouteConfig&, const RouteConfig&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTE_CONFIG_H_
