#include "knapweedroad/routing/route_adoption.h"

#include <utility>

#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {

bool IsRouteServed(const RouteConfig& route,
                   const RouteAdoption::IsServed& is_served) {
  size_t served = 0;
  for (const RouteService& part : route.services) {
    served += is_served(part.service) ? 1 : 0;
  }
  const double share =
      static_cast<double>(served) / static_cast<double>(route.services.size());
  return route.is_scatter ? share >= route.min_share : served > 0;
}

void RouteAdoption::Offer(std::shared_ptr<const RouteTable> table,
                          TimePoint now) {
  if (this->offered == nullptr) {
    this->held_since = now;
  }
  this->offered = std::move(table);
}

bool RouteAdoption::LosesService(const IsServed& is_served) const {
  for (const RouteConfig& next : this->offered->config().routes) {
    const RouteConfig* const held =
        this->current->Find(next.host_name, next.path_prefix);
    const bool is_same_route =
        held != nullptr && held->path_prefix == next.path_prefix;
    if (!is_same_route || held->services == next.services) {
      continue;
    }
    if (!IsRouteServed(next, is_served) && IsRouteServed(*held, is_served)) {
      return true;
    }
  }
  return false;
}

std::shared_ptr<const RouteTable> RouteAdoption::Take(const IsServed& is_served,
                                                      TimePoint now) {
  if (this->offered == nullptr) {
    return nullptr;
  }
  const bool may_hold = this->current != nullptr &&
                        now - this->held_since < this->options.most_hold;
  if (may_hold && this->LosesService(is_served)) {
    return nullptr;
  }
  this->current = std::exchange(this->offered, nullptr);
  return this->current;
}

}  // namespace knapweedroad
