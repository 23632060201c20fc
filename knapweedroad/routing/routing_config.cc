#include "knapweedroad/routing/routing_config.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

#include "knapweedroad/accounts/check_accounts.h"

namespace knapweedroad {
namespace {

using HostPrefixes = std::set<std::pair<std::string_view, std::string_view>>;

std::string RouteFault(const RouteConfig& route, std::string_view fault) {
  return "route '" + route.name + "': " + std::string(fault);
}

void CheckServices(const RouteConfig& route,
                   const std::set<std::string_view>& defined,
                   std::vector<std::string>& faults) {
  if (route.services.empty()) {
    faults.push_back(RouteFault(route, "has no service; add at least one"));
    return;
  }
  double total_weight = 0;
  std::set<std::string_view> listed;
  for (const WeightedService& entry : route.services) {
    total_weight += entry.weight;
    if (!defined.contains(entry.service.str())) {
      faults.push_back(
          RouteFault(route, "service '" + entry.service.str() +
                                "' isn't defined; define it or use "
                                "another"));
    }
    if (entry.weight < 0) {
      faults.push_back(
          RouteFault(route, "a weight is negative; set it to 0 or more"));
    }
    if (!listed.insert(entry.service.str()).second && route.is_scatter) {
      faults.push_back(RouteFault(route, "service '" + entry.service.str() +
                                             "' is listed twice; remove one"));
    }
  }
  if (total_weight <= 0) {
    faults.push_back(
        RouteFault(route, "the sum of the weights must be above 0"));
  }
}

void CheckRoute(const RouteConfig& route, std::vector<std::string>& faults) {
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    faults.push_back(
        RouteFault(route, "the path prefix must begin and end with a slash"));
  }
  if (route.timeout <= Duration::zero()) {
    faults.push_back(RouteFault(route, "the timeout must be above 0"));
  }
  if (route.max_attempts == 0) {
    faults.push_back(
        RouteFault(route, "the maximum number of attempts must be 1 or more"));
  }
  if (route.min_share < 0 || route.min_share > 1) {
    faults.push_back(
        RouteFault(route, "the minimum share must be from 0 to 1"));
  }
}

}  // namespace

std::vector<std::string> CheckRouting(const RoutingConfig& config) {
  std::vector<std::string> faults;
  std::set<std::string_view> defined;
  for (const RoutedService& service : config.services) {
    if (!defined.insert(service.name.str()).second) {
      faults.push_back("service '" + service.name.str() +
                       "' is defined twice; remove one");
    }
  }
  HostPrefixes host_prefixes;
  for (const RouteConfig& route : config.routes) {
    CheckRoute(route, faults);
    CheckServices(route, defined, faults);
    if (!host_prefixes.emplace(route.host_name, route.path_prefix).second) {
      faults.push_back(RouteFault(route,
                                  "another route has the same host name and "
                                  "path prefix; change or remove one"));
    }
  }
  if (config.accounts) {
    std::ranges::move(CheckAccounts(*config.accounts),
                      std::back_inserter(faults));
  }
  return faults;
}

}  // namespace knapweedroad
