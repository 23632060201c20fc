#include "knapweedroad/routing/route_adoption.h"

#include <utility>

#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {

bool IsRouteServed(const RouteConfig& route,
                   const RouteAdoption::IsServed& is_served) {
  size_t served = 0;
  for (const WeightedService& service : route.services) {
    served += is_served(service.service) ? 1 : 0;
  }
  const double share =
      static_cast<double>(served) / static_cast<double>(route.services.size());
  return route.is_scatter ? share >= route.min_share : served > 0;
}

void RouteAdoption::Offer(std::shared_ptr<const RouteTable> table,
                          TimePoint now) {
  if (this->pending == nullptr) {
    this->pending_since = now;
  }
  this->pending = std::move(table);
}

bool RouteAdoption::WouldLoseRoute(const IsServed& is_served) const {
  for (const RouteConfig& next : this->pending->config().routes) {
    const RouteConfig* const previous =
        this->current->Find(next.host_name, next.path_prefix);
    const bool is_same_route =
        previous != nullptr && previous->path_prefix == next.path_prefix;
    if (!is_same_route || previous->services == next.services) {
      continue;
    }
    if (!IsRouteServed(next, is_served) &&
        IsRouteServed(*previous, is_served)) {
      return true;
    }
  }
  return false;
}

std::shared_ptr<const RouteTable> RouteAdoption::Adopt(
    const IsServed& is_served,
    TimePoint now) {
  if (this->pending == nullptr) {
    return nullptr;
  }
  const bool may_wait = this->current != nullptr &&
                        now - this->pending_since < this->options.max_hold;
  if (may_wait && this->WouldLoseRoute(is_served)) {
    return nullptr;
  }
  this->current = std::exchange(this->pending, nullptr);
  return this->current;
}

}  // namespace knapweedroad
