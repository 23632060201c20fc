// Finds the route of a request in one version of the routing configuration.
//
//   RouteTable table(config);
//   const RouteConfig* route = table.Find("leno12.example:80", "/a/b/2f?q=1");

#ifndef KNAPWEEDROAD_ROUTING_ROUTE_TABLE_H_
#define KNAPWEEDROAD_ROUTING_ROUTE_TABLE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "knapweedroad/accounts/account_table.h"
#include "knapweedroad/routing/routing_config.h"

namespace knapweedroad {

// Immutable. Each request keeps a reference to its table while it runs, so that
// one version applies to all parts of its answer.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfig config);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the route of the host with the longest path prefix that matches
  // `path`, or null if there is none. `host` may be in any case, and its port
  // is ignored. The result is valid as long as this table.
  const RouteConfig* Find(std::string_view host, std::string_view path) const;

  // Returns null if the configuration doesn't define the service. The result is
  // valid as long as this table.
  const RoutedService* FindService(const ServiceId& service) const;

  // Returns the client accounts, or null if the configuration has none and
  // callers aren't identified. The result is valid as long as this table.
  const AccountTable* accounts() const {
    return this->account_table ? &*this->account_table : nullptr;
  }

  // Whether some routes are more urgent than others.
  bool has_several_priorities() const;

  const RoutingConfig& config() const { return this->routing; }
  uint64_t version() const { return this->routing.version; }

 private:
  RoutingConfig routing;
  // The routes of each host name in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteConfig*>> by_host;
  std::unordered_map<ServiceId, const RoutedService*> by_service;
  std::optional<AccountTable> account_table;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTE_TABLE_H_
