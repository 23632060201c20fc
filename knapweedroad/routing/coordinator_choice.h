// Chooses the coordinators of a zone: the entry hosts that gather the parts of
// scatters for all others.
//
//   CoordinatorChoice coordinators({});
//   coordinators.SetHosts(entry_hosts);
//   const size_t slices = coordinators.SliceCount(shards);
//   for (const EntryHostRecord& host :
//        coordinators.HostsOf(zone, slice, slices)) ...
//
// Answers the load of many entry hosts that each see few requests: a host that
// sent its own attempts would open a connection for most of them.

#ifndef KNAPWEEDROAD_ROUTING_COORDINATOR_CHOICE_H_
#define KNAPWEEDROAD_ROUTING_COORDINATOR_CHOICE_H_

#include <cstddef>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/entry_host_record.h"

namespace knapweedroad {

struct CoordinatorChoiceOptions {
  // This host.
  HostId self;
  // The shards of a scatter are divided into slices of at most this many. One
  // host asks the targets of a slice one after another.
  size_t shards_per_slice = 16;
  // The number of coordinators of a slice: one for every `hosts_per_replica`
  // hosts of the zone and slice, so that the load of a coordinator doesn't grow
  // with the zone, and at least `min_replicas`.
  size_t min_replicas = 3;
  size_t hosts_per_replica = 8;
  // A zone has coordinators only if they are at most one in this many of its
  // hosts.
  size_t min_hosts_per_coordinator = 2;
};

// Uses rendezvous hashing: all hosts with the same list choose the same
// coordinators, and a change of one host changes few of them.
class CoordinatorChoice {
 public:
  explicit CoordinatorChoice(CoordinatorChoiceOptions options);

  // Replaces the list of entry hosts.
  void SetHosts(std::span<const EntryHostRecord> hosts);

  // Returns the number of slices of a scatter; at least one.
  size_t SliceCount(size_t shards) const;

  // Returns the zones that have enough hosts for coordinators.
  std::vector<ZoneId> Zones(size_t slices) const;

  // Returns the index of the coordinator that this host prefers among `count`
  // of a slice. The hosts are divided among the coordinators.
  size_t PreferredIndex(size_t slice, size_t count) const;

  // Returns the coordinators of the slice, which is below `slices`, for targets
  // of the zone, in the same order on all hosts; empty if the zone has too few
  // hosts. Valid until the next call of SetHosts().
  std::span<const EntryHostRecord> HostsOf(const ZoneId& zone,
                                           size_t slice,
                                           size_t slices);

 private:
  // The number of coordinators of one slice; zero if the hosts are too few.
  size_t ReplicaCount(size_t host_count, size_t slices) const;

  struct Zone {
    std::vector<EntryHostRecord> hosts;
    // By slice and number of replicas; computed when first needed.
    std::map<std::pair<size_t, size_t>, std::vector<EntryHostRecord>> chosen;
  };

  CoordinatorChoiceOptions options;
  std::map<ZoneId, Zone> zones;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_COORDINATOR_CHOICE_H_
