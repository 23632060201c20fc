#include "knapweedroad/routing/routing_config.h"

#include <set>
#include <string_view>
#include <utility>

namespace knapweedroad {
namespace {

using Places = std::set<std::pair<std::string_view, std::string_view>>;

std::string About(const RouteConfig& route, std::string_view fault) {
  return "route '" + route.name + "': " + std::string(fault);
}

void CheckServices(const RouteConfig& route,
                   const std::set<std::string_view>& known,
                   std::vector<std::string>& faults) {
  if (route.services.empty()) {
    faults.push_back(About(route, "names no service; give it one"));
    return;
  }
  double weights = 0;
  std::set<std::string_view> seen;
  for (const RouteService& part : route.services) {
    weights += part.weight;
    if (!known.contains(part.service.str())) {
      faults.push_back(About(route, "service '" + part.service.str() +
                                        "' isn't defined; define it or name "
                                        "another"));
    }
    if (part.weight < 0) {
      faults.push_back(About(route, "a weight is negative; use 0 or more"));
    }
    if (!seen.insert(part.service.str()).second && route.is_scatter) {
      faults.push_back(
          About(route, "service '" + part.service.str() + "' is named twice"));
    }
  }
  if (weights <= 0) {
    faults.push_back(About(route, "the weights add up to 0; raise one"));
  }
}

void CheckRoute(const RouteConfig& route, std::vector<std::string>& faults) {
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    faults.push_back(
        About(route, "the path prefix must begin and end with a slash"));
  }
  if (route.timeout <= Duration::zero()) {
    faults.push_back(About(route, "the time-out must be above 0"));
  }
  if (route.max_attempts == 0) {
    faults.push_back(About(route, "at least one attempt must be allowed"));
  }
  if (route.min_share < 0 || route.min_share > 1) {
    faults.push_back(About(route, "the least share must be from 0 to 1"));
  }
}

}  // namespace

std::vector<std::string> CheckRouting(const RoutingConfig& config) {
  std::vector<std::string> faults;
  std::set<std::string_view> known;
  for (const RoutedService& service : config.services) {
    if (!known.insert(service.name.str()).second) {
      faults.push_back("service '" + service.name.str() +
                       "' is defined twice; keep one");
    }
  }
  Places places;
  for (const RouteConfig& route : config.routes) {
    CheckRoute(route, faults);
    CheckServices(route, known, faults);
    if (!places.emplace(route.host_name, route.path_prefix).second) {
      faults.push_back(
          About(route, "another route has the same host and path prefix"));
    }
  }
  return faults;
}

}  // namespace knapweedroad
