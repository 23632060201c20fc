// Divides the connections that targets accept among all entry hosts: how many
// connections this host may hold to one target, and to how many of a service's
// targets it keeps connections.
//
//   ConnectionShare share;
//   share.SetHosts(hosts, now);
//   size_t max_connections = share.MaxPerTarget(service.max_connections, now);

#ifndef KNAPWEEDROAD_ROUTING_CONNECTION_SHARE_H_
#define KNAPWEEDROAD_ROUTING_CONNECTION_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Computes equal shares, so that all entry hosts together stay below the
// connection limit of each target. Where there are more hosts than connections,
// each host still gets one connection to one target, as it can't serve without.
class ConnectionShare {
 public:
  // Replaces the list of entry hosts, which includes this host.
  void SetHosts(std::vector<HostId> hosts, TimePoint now);
  const std::vector<HostId>& hosts() const { return this->listed; }
  // Increases with each change of the list; at least one.
  uint64_t revision() const { return this->list_revision; }
  // Returns the number of entry hosts that may hold connections to a target; at
  // least one. Hosts that were removed from the list a short while ago are
  // included.
  size_t host_count() const;

  // Returns how many connections this host may hold to a target that accepts
  // `max_connections` from all hosts together; at least one.
  size_t MaxPerTarget(size_t max_connections, TimePoint now) const;

  // Returns the number of targets to which this host keeps connections, of a
  // service with `targets` targets that accept `max_connections` each; at least
  // one. `targets` must be at least one.
  size_t SubsetSize(size_t targets, size_t max_connections) const;

 private:
  // Whether the list changed so recently that it may lack most hosts.
  bool IsListSettling(TimePoint now) const;

  std::vector<HostId> listed;
  uint64_t list_revision = 1;
  // When the list last changed; absent until the first list.
  std::optional<TimePoint> changed_at;
  // The number of hosts on the list before the last change, or the greatest of
  // several lists that were replaced in quick succession.
  size_t previous_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_CONNECTION_SHARE_H_
