// How many connections this host may hold to a target that all entry hosts
// share, and to how many of a service's targets.
//
//   ConnectionShare share;
//   share.SetHosts(hosts, now);
//   size_t most = share.MaxPerTarget(service.max_connections, now);

#ifndef KNAPWEEDROAD_ROUTING_CONNECTION_SHARE_H_
#define KNAPWEEDROAD_ROUTING_CONNECTION_SHARE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class ConnectionShare {
 public:
  // All entry hosts, this one among them.
  void SetHosts(std::vector<HostId> hosts, TimePoint now);
  const std::vector<HostId>& hosts() const { return this->listed; }
  // How many share a target, at the most, as far as known; at least one.
  size_t host_count() const;

  // Connections to one target that bears `max_connections` from all hosts; at
  // least one.
  size_t MaxPerTarget(size_t max_connections, TimePoint now) const;

  // To how many of a service's `targets` this host keeps connections.
  size_t SubsetSize(size_t targets, size_t max_connections) const;

 private:
  // Whether the list of hosts may still lack most of them.
  bool IsListSettling(TimePoint now) const;

  std::vector<HostId> listed;
  // When the list last changed; none: never heard of any.
  std::optional<TimePoint> changed_at;
  // The most hosts of a list that was replaced a short while ago.
  size_t previous_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_CONNECTION_SHARE_H_
