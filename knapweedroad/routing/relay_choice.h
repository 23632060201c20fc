// Which entry hosts of other zones gather parts for this one.
//
//   RelayChoice relays({.self = name, .zone = zone});
//   relays.SetHosts(entry_hosts);
//   std::vector<ZoneId> zones = relays.AvailableZones(now);
//   if (const auto relay = relays.Choose(zones.front(), known, now)) ...
//   relays.OnCalled(relay->host, due, now);
//   relays.OnReplied(relay->host, due);

#ifndef KNAPWEEDROAD_ROUTING_RELAY_CHOICE_H_
#define KNAPWEEDROAD_ROUTING_RELAY_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/entry_host_record.h"

namespace knapweedroad {

struct RelayChoiceOptions {
  HostId self;
  ZoneId zone;
  // Hosts of each other zone that this one may call, drawn differently by each
  // host: each keeps a connection to them.
  size_t hosts_per_zone = 2;
  // A host that failed or refused isn't called for this long.
  Duration avoid_after_failure = std::chrono::seconds(1);
  uint64_t seed = 1;
};

class RelayChoice {
 public:
  explicit RelayChoice(RelayChoiceOptions options);

  void SetHosts(std::span<const EntryHostRecord> hosts);

  // Other zones with a host that may be called now, in an order drawn by lot:
  // so each zone's targets get their share.
  std::vector<ZoneId> AvailableZones(TimePoint now);

  // Of that zone's hosts one of those `known` already to the request, else the
  // one with the fewest calls out; nothing if none may be called.
  std::optional<EntryHostRecord> Choose(const ZoneId& zone,
                                        std::span<const HostId> preferred,
                                        TimePoint now);

  // Each call is OnCalled() once, then one of the others once. One that has no
  // reply when it is `due` keeps its host from being chosen.
  void OnCalled(const HostId& host, TimePoint deadline);
  void OnReplied(const HostId& host, TimePoint deadline);
  void OnFailed(const HostId& host, TimePoint deadline, TimePoint now);

 private:
  struct Relay {
    EntryHostRecord record;
    std::multiset<TimePoint> deadlines;
    TimePoint avoid_until;
  };

  void EndCall(const HostId& host, TimePoint deadline);
  static bool IsAvailable(const Relay& relay, TimePoint now);

  RelayChoiceOptions options;
  std::map<HostId, Relay> relays;
  std::minstd_rand random;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RELAY_CHOICE_H_
