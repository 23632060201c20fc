// One version of the routing configuration of entry hosts: all routes, services
// and limits on callers.

#ifndef KNAPWEEDROAD_ROUTING_ROUTING_CONFIG_H_
#define KNAPWEEDROAD_ROUTING_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/route_config.h"

namespace knapweedroad {

// A service to which routes refer, and the limits of each of its targets.
struct RoutedService {
  ServiceId name;
  // The path of health checks.
  std::string health_path = "/health";
  // Connections that each target accepts from all hosts together; zero if
  // unknown.
  size_t max_connections = 0;
  // How long after its start a target is cold, and accepts only `cold_rate`.
  Duration cold_start{};
  // Requests per second that a cold target accepts from all hosts together.
  double cold_rate = 0;

  friend bool operator==(const RoutedService&, const RoutedService&) = default;
};

// Limits on the requests and connections of callers.
struct CallerLimits {
  size_t max_header_bytes = 16 << 10;
  size_t max_body_bytes = 256 << 10;
  // The longest time that a caller may take to send a request, from its first
  // byte to the end of its body.
  Duration header_timeout = std::chrono::seconds(3);
  // How long a connection without a request stays open.
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct RoutingConfig {
  // Set by the operators; a higher version replaces a lower one.
  uint64_t version = 0;
  std::vector<RouteConfig> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // If present, even if empty, callers must send a key of one of these accounts
  // on every route that isn't public. If absent, callers aren't identified.
  std::optional<std::vector<ClientAccount>> accounts;

  friend bool operator==(const RoutingConfig&, const RoutingConfig&) = default;
};

// Returns the reasons why the configuration is invalid, one message for each
// fault, with the route or service and what to change. Returns an empty list if
// the configuration is valid.
std::vector<std::string> CheckRouting(const RoutingConfig& config);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTING_CONFIG_H_
