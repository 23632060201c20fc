// Which hosts of a zone are responsible for a target, and who votes on it.
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

// The hosts ordered for this target, the most responsible first; every host
// computes the same order, and losing one moves only its own targets.
std::vector<HostId> RendezvousOrder(const TargetId& target,
                                    std::span<const HostId> hosts);

// The hosts of the zone in order of name.
std::vector<HostId> HostsOfZone(const ZoneId& zone,
                                std::span<const PeerSettings> hosts);

inline constexpr std::size_t kMaxZoneVoters = 5;

// The hosts that vote on the leases of the zone's targets: its first five by
// name and, where that number is even, one witness of another zone, so that
// two hosts of a zone that lose each other can still be told apart. The same
// on every host as long as their settings are.
std::vector<HostId> LeaseVoters(const ZoneId& zone,
                                std::span<const PeerSettings> hosts);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_RENDEZVOUS_H_
