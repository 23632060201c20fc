// Finds the route of a request.
//
//   RouteTable table(config);
//   const RouteConfig* route = table.Find("leno12.example:80", "/a/b/2f?q=1");

#ifndef KNAPWEEDROAD_ROUTING_ROUTE_TABLE_H_
#define KNAPWEEDROAD_ROUTING_ROUTE_TABLE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "knapweedroad/routing/routing_config.h"

namespace knapweedroad {

// One version; never changes. Requests hold it while they run, so that all
// parts of an answer come from one version.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfig config);

  // The route with the longest prefix that begins the path, among those of the
  // host name (any case, a port is ignored); null: none.
  const RouteConfig* Find(std::string_view host, std::string_view path) const;

  // Null: no such service.
  const RoutedService* FindService(const ServiceId& service) const;

  const RoutingConfig& config() const { return this->routing; }
  uint64_t version() const { return this->routing.version; }

 private:
  RoutingConfig routing;
  // Routes of a host name, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteConfig*>> by_host;
  std::unordered_map<ServiceId, const RoutedService*> by_service;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTE_TABLE_H_
