// Opens connections to targets ahead of the attempts that will use them, on
// hosts that gather parts for many others.
//
//   ConnectionWarmer warmer({.parts = parts, .zone = zone});
//   warmer.OnGathered(service, now);
//   warmer.Tick(now);  // periodically

#ifndef KNAPWEEDROAD_EDGE_CONNECTION_WARMER_H_
#define KNAPWEEDROAD_EDGE_CONNECTION_WARMER_H_

#include <cstddef>
#include <unordered_map>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct EntryParts;

struct ConnectionWarmerOptions {
  // Outlives the warmer.
  EntryParts& parts;
  // Of this host.
  ZoneId zone;
  Duration interval = std::chrono::milliseconds(500);
  // Connections opened in one interval at most.
  size_t max_opened = 24;
  // A service counts as in use for this long after an attempt.
  Duration use_memory = std::chrono::seconds(20);
};

// Keeps one connection open to each target of this zone whose service the host
// gathers parts from, as long as entry hosts use coordinators. A new connection
// takes time of the host and of the target, and a scatter that needs many of
// them is late.
class ConnectionWarmer {
 public:
  explicit ConnectionWarmer(const ConnectionWarmerOptions& options);

  // Records an attempt that the host makes for another one.
  void OnGathered(const ServiceId& service, TimePoint now);

  void Tick(TimePoint now);

 private:
  // Opens connections to the service's targets; returns how many.
  size_t WarmService(const ServiceId& service,
                     size_t max_opened,
                     TimePoint now);

  ConnectionWarmerOptions options;
  std::unordered_map<ServiceId, TimePoint> last_used;
  TimePoint next;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONNECTION_WARMER_H_
