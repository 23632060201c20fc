// Decides when a newer routing configuration comes in force on a host.
//
//   RouteAdoption adoption({.max_hold = 1200ms});
//   adoption.Offer(table, now);
//   if (auto next = adoption.Adopt(is_served, now)) PutInForce(next);

#ifndef KNAPWEEDROAD_ROUTING_ROUTE_ADOPTION_H_
#define KNAPWEEDROAD_ROUTING_ROUTE_ADOPTION_H_

#include <functional>
#include <memory>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class RouteTable;
struct RouteConfig;

struct RouteAdoptionOptions {
  // The longest that a version is held back. Well under the time within which
  // a version must be in force: it may have been on its way for a second.
  Duration max_hold = std::chrono::milliseconds(1200);
};

// A version that would leave a route without usable targets, as those of a new
// set of shards are still cold, is held back for a moment while the old one
// still serves. Versions on a host only rise: the newest offered is the one
// that is taken.
class RouteAdoption {
 public:
  using IsServed = std::function<bool(const ServiceId& service)>;

  explicit RouteAdoption(RouteAdoptionOptions options) : options(options) {}

  void Offer(std::shared_ptr<const RouteTable> table, TimePoint now);

  // The version to put in force now; null: none.
  std::shared_ptr<const RouteTable> Adopt(const IsServed& is_served,
                                          TimePoint now);

  // Null until the first one.
  const std::shared_ptr<const RouteTable>& in_force() const {
    return this->current;
  }
  bool has_pending() const { return this->pending != nullptr; }

 private:
  bool WouldLoseRoute(const IsServed& is_served) const;

  RouteAdoptionOptions options;
  std::shared_ptr<const RouteTable> current;
  std::shared_ptr<const RouteTable> pending;
  // When the first of the versions that are held back was offered.
  TimePoint pending_since;
};

// Whether enough of the route's services have targets for an answer.
bool IsRouteServed(const RouteConfig& route,
                   const RouteAdoption::IsServed& is_served);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTE_ADOPTION_H_
