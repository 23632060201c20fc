// Decides when a new version of the routing configuration takes effect on a
// host.
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
  // The longest time that a version is held back. It is much shorter than the
  // time within which a version must take effect, as the version may already
  // have spent a second on its way to this host.
  Duration max_hold = std::chrono::milliseconds(1200);
};

// Holds back a version that would leave a route without usable targets, for
// example because those of a new set of shards are still cold, while the
// version in force still serves that route. A version that is offered later
// replaces the pending one. The caller offers versions in ascending order.
class RouteAdoption {
 public:
  // Returns whether the service has usable targets.
  using IsServed = std::function<bool(const ServiceId& service)>;

  explicit RouteAdoption(RouteAdoptionOptions options) : options(options) {}

  // Sets the pending version. The time that it may be held back counts from the
  // first offer since the last adoption.
  void Offer(std::shared_ptr<const RouteTable> table, TimePoint now);

  // Makes the pending version the one in force and returns it. Returns null if
  // there is none or it is held back; the caller then tries again later.
  std::shared_ptr<const RouteTable> Adopt(const IsServed& is_served,
                                          TimePoint now);

  // The version in force; null until the first adoption.
  const std::shared_ptr<const RouteTable>& in_force() const {
    return this->current;
  }
  // Whether a version was offered and not yet adopted.
  bool has_pending() const { return this->pending != nullptr; }

 private:
  // Whether the pending version would leave a route unserved that is served
  // now.
  bool WouldLoseRoute(const IsServed& is_served) const;

  RouteAdoptionOptions options;
  std::shared_ptr<const RouteTable> current;
  std::shared_ptr<const RouteTable> pending;
  // When the first version since the last adoption was offered.
  TimePoint pending_since;
};

// Returns whether enough of the route's services have usable targets for an
// answer: at least one, or for a scatter route the share `min_share`.
bool IsRouteServed(const RouteConfig& route,
                   const RouteAdoption::IsServed& is_served);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ROUTE_ADOPTION_H_
