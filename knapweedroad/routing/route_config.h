// One route of a routing configuration: which requests it matches, which
// services run them, and the limits that apply to them.

#ifndef KNAPWEEDROAD_ROUTING_ROUTE_CONFIG_H_
#define KNAPWEEDROAD_ROUTING_ROUTE_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// A service of a route and its share of the route's requests.
struct WeightedService {
  ServiceId service;
  // Relative to the weights of the route's other services; not used for a
  // scatter route, except that a weight must not be negative and their sum must
  // be above 0.
  double weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

// A request takes the route that has its host name and the longest prefix of
// its path. CheckRouting() reports invalid values.
struct RouteConfig {
  std::string name;
  // Without a port; compared without regard to case.
  std::string host_name;
  // Begins and ends with a slash.
  std::string path_prefix;
  // Whether a request may run more than once without harm.
  bool idempotent = false;
  // The longest time that a caller waits for an answer.
  Duration timeout{};
  // The time within which a request should be answered. Later answers are worth
  // less to the caller.
  Duration latency_target{};
  // The services that run the requests. Each request goes to one of them,
  // chosen by weight, or, if `is_scatter`, to all of them.
  std::vector<WeightedService> services;
  // Whether each service is one shard and the answer is merged from their
  // parts.
  bool is_scatter = false;
  // The number of targets to which one request may be sent; for a scatter
  // route, that number for each service.
  size_t max_attempts = 1;
  // The number of records in a scatter answer.
  size_t top_records = 0;
  // The smallest share of the services, from 0 to 1, whose parts make a scatter
  // answer a success.
  double min_share = 0;
  // The rank of requests when capacity is short; zero is the most urgent. A
  // client account's own priority takes precedence.
  uint32_t priority = 0;
  // Whether callers need no key although the configuration has accounts.
  bool is_public = false;

  friend bool operator==(const RouteConfig&, const RouteConfig&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTE_CONFIG_H_
