// Opens connections to targets ahead of the requests that will use them, on
// hosts that gather parts for many others.
//
//   ConnectionWarmer warmer({.parts = parts, .zone = zone});
//   warmer.Tick(now);  // periodically

#ifndef KNAPWEEDROAD_EDGE_CONNECTION_WARMER_H_
#define KNAPWEEDROAD_EDGE_CONNECTION_WARMER_H_

#include <cstddef>
#include <span>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct EntryParts;
struct RouteConfig;
struct WeightedService;

struct ConnectionWarmerOptions {
  // Outlives the warmer.
  EntryParts& parts;
  // Of this host.
  ZoneId zone;
  Duration interval = std::chrono::milliseconds(500);
  // Connections opened in one interval at most.
  size_t max_opened = 24;
};

// Keeps one connection open to each target of this zone in the slices that this
// host coordinates, as long as the entry hosts use coordinators. A new
// connection takes time of the host and of the target, and a scatter that needs
// many of them is late.
class ConnectionWarmer {
 public:
  explicit ConnectionWarmer(const ConnectionWarmerOptions& options);

  void Tick(TimePoint now);

 private:
  // Opens connections for the slices of the route; returns how many.
  size_t WarmRoute(const RouteConfig& route, size_t max_opened, TimePoint now);
  size_t WarmServices(std::span<const WeightedService> services,
                      size_t max_opened,
                      TimePoint now);

  ConnectionWarmerOptions options;
  TimePoint next;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONNECTION_WARMER_H_
