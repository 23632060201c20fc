#include "knapweedroad/routing/route_table.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A'))
                                : static_cast<char>(c);
  });
  return name;
}

}  // namespace

RouteTable::RouteTable(RoutingConfig config) : routing(std::move(config)) {
  for (const RouteConfig& route : this->routing.routes) {
    this->by_host[HostName(route.host_name)].push_back(&route);
  }
  for (auto& [host, routes] : this->by_host) {
    std::ranges::stable_sort(
        routes, [](const RouteConfig* left, const RouteConfig* right) {
          return left->path_prefix.size() > right->path_prefix.size();
        });
  }
  for (const RoutedService& service : this->routing.services) {
    this->by_service[service.name] = &service;
  }
  if (this->routing.accounts) {
    this->account_table.emplace(*this->routing.accounts);
  }
}

const RouteConfig* RouteTable::Find(std::string_view host,
                                    std::string_view path) const {
  const auto routes = this->by_host.find(HostName(host));
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  for (const RouteConfig* route : routes->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

bool RouteTable::has_several_priorities() const {
  const std::vector<RouteConfig>& routes = this->routing.routes;
  return std::ranges::any_of(routes, [&](const RouteConfig& route) {
    return route.priority != routes.front().priority;
  });
}

const RoutedService* RouteTable::FindService(const ServiceId& service) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? nullptr : found->second;
}

}  // namespace knapweedroad
