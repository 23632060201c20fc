// What entry hosts route by: one version of all routes and services.

#ifndef KNAPWEEDROAD_ROUTING_ROUTING_CONFIG_H_
#define KNAPWEEDROAD_ROUTING_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/route_config.h"

namespace knapweedroad {

struct RoutedService {
  ServiceId name;
  std::string health_path = "/health";
  // Connections that each target of the service takes from all hosts together.
  size_t max_connections = 0;
  // How long a target bears little after its start.
  Duration cold_start{};
  // Requests a second that a cold target bears from all hosts together.
  double cold_rate = 0;

  friend bool operator==(const RoutedService&, const RoutedService&) = default;
};

// What a caller may send, and how long it may take.
struct CallerLimits {
  size_t max_header_bytes = 16 << 10;
  size_t max_body_bytes = 256 << 10;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct RoutingConfig {
  // The operators' number; higher versions replace lower ones.
  uint64_t version = 0;
  std::vector<RouteConfig> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;

  friend bool operator==(const RoutingConfig&, const RoutingConfig&) = default;
};

// Why the configuration can't be put in force, one text a fault, each naming
// the route and the remedy; empty if it can.
std::vector<std::string> CheckRouting(const RoutingConfig& config);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTING_CONFIG_H_
