// Chooses the relays of an entry host: entry hosts of other zones that gather
// parts of an answer from the targets in their zone.
//
//   RelayChoice relays({.self = name, .zone = zone});
//   relays.SetHosts(entry_hosts);
//   std::vector<ZoneId> zones = relays.AvailableZones(now);
//   if (const auto relay = relays.Choose(zones.front(), preferred, now)) ...
//   relays.OnCalled(relay->host, deadline);
//   relays.OnReplied(relay->host, deadline);

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
  // This host and its zone.
  HostId self;
  ZoneId zone;
  // The number of hosts of each other zone that this host may call. It is kept
  // low because each host holds a connection to its relays. Different hosts
  // select different relays.
  size_t hosts_per_zone = 2;
  // How long a host isn't chosen after it failed or refused a call.
  Duration avoid_after_failure = std::chrono::seconds(1);
  // Seeds the order of zones.
  uint64_t seed = 1;
};

// Spreads the calls of all entry hosts over all hosts of the other zones, and
// avoids hosts that failed recently or have a reply overdue.
class RelayChoice {
 public:
  explicit RelayChoice(RelayChoiceOptions options);

  // Replaces the list of entry hosts. Hosts that stay relays keep their state.
  void SetHosts(std::span<const EntryHostRecord> hosts);

  // Returns the other zones that have a host available now. The order is
  // random, so that the targets of each zone get an equal share of the
  // requests.
  std::vector<ZoneId> AvailableZones(TimePoint now);

  // Returns an available host of that zone: one in `preferred`, the hosts that
  // the request already uses, or else the one with the fewest calls in flight.
  // Returns nothing if none is available.
  std::optional<EntryHostRecord> Choose(const ZoneId& zone,
                                        std::span<const HostId> preferred,
                                        TimePoint now);

  // Returns whether the host has neither failed recently nor a reply overdue.
  // Also answers for hosts that are not relays of this host.
  bool IsAvailable(const HostId& host, TimePoint now) const;
  // Returns the number of calls to the host without a reply.
  size_t CallsInFlight(const HostId& host) const;

  // Record a call and its end. For each call, OnCalled() is called once, and
  // then either OnReplied() or OnFailed() with the same deadline. A host isn't
  // available while one of its calls is past its deadline.
  void OnCalled(const HostId& host, TimePoint deadline);
  void OnReplied(const HostId& host, TimePoint deadline);
  void OnFailed(const HostId& host, TimePoint deadline, TimePoint now);

 private:
  struct CallState {
    std::multiset<TimePoint> deadlines;
    TimePoint avoid_until;
  };

  CallState* EndCall(const HostId& host, TimePoint deadline);

  RelayChoiceOptions options;
  std::map<HostId, EntryHostRecord> relays;
  // Without the hosts that were not called since the list changed.
  std::map<HostId, CallState> calls;
  std::minstd_rand random;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RELAY_CHOICE_H_
