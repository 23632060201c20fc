// Selects the hosts of a zone that should hold the lease of a target, and the
// hosts that vote on its lease.
//
//   std::vector<HostId> order = RendezvousOrder(target, zone_hosts);
//   const HostId& preferred = order.front();

#ifndef KNAPWEEDROAD_ADMISSION_RENDEZVOUS_H_
#define KNAPWEEDROAD_ADMISSION_RENDEZVOUS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

struct PeerSettings;

// Returns `hosts` in order of preference for this target, by rendezvous
// hashing. Every host computes the same order, and removing a host moves only
// the targets for which it was first.
std::vector<HostId> RendezvousOrder(const TargetId& target,
                                    std::span<const HostId> hosts);

// Returns the hosts of the zone in order of name.
std::vector<HostId> HostsOfZone(const ZoneId& zone,
                                std::span<const PeerSettings> hosts);

// The largest number of voters from the zone itself.
inline constexpr std::size_t kMaxZoneVoters = 5;

// Returns the hosts that vote on the leases of the zone's targets: the first
// `kMaxZoneVoters` hosts of the zone by name and, if their number is even, a
// witness from another zone, if there is one. With the witness, one of two
// hosts of a zone that have lost contact with each other can still reach a
// majority. Every host with the same settings computes the same voters.
std::vector<HostId> LeaseVoters(const ZoneId& zone,
                                std::span<const PeerSettings> hosts);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_RENDEZVOUS_H_
