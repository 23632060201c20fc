#include "knapweedroad/routing/connection_share.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

std::vector<HostId> Hosts(size_t count) {
  std::vector<HostId> hosts;
  for (size_t i = 0; i < count; ++i) {
    hosts.emplace_back("entry-" + std::to_string(i));
  }
  return hosts;
}

// Guards against exceeding a target's limit when there are more hosts than it
// accepts connections: each host then connects to a subset of the targets.
Test(connection_share, all_hosts_together_stay_below_a_targets_limit) {
  for (const size_t hosts : {9, 66, 83, 300}) {
    for (const size_t max_connections : {26, 74, 560}) {
      ConnectionShare share;
      share.SetHosts(Hosts(hosts), kStart);
      constexpr size_t kTargets = 3;
      const TimePoint later = kStart + seconds(60);
      const size_t connections = hosts *
                                 share.MaxPerTarget(max_connections, later) *
                                 share.SubsetSize(kTargets, max_connections);
      // A host needs at least one connection for each service.
      cr_expect(connections <= std::max(kTargets * max_connections, hosts),
                "%zu hosts, %zu connections", hosts, max_connections);
    }
  }
}

// Guards against hosts that start at the same time and each claim the share of
// a single host, as their lists don't have the others yet.
Test(connection_share, is_small_while_the_host_list_settles) {
  ConnectionShare share;
  cr_expect(share.MaxPerTarget(74, kStart) <= 2);
  share.SetHosts(Hosts(2), kStart);
  cr_expect(share.MaxPerTarget(74, kStart + std::chrono::milliseconds(100)) <=
            2);
  cr_expect(share.MaxPerTarget(74, kStart + seconds(3)) > 2);
}

// Guards against shares that grow when half of the hosts are missing from the
// list for a moment.
Test(connection_share, recently_removed_hosts_still_count) {
  ConnectionShare share;
  share.SetHosts(Hosts(40), kStart);
  share.SetHosts(Hosts(20), kStart + seconds(5));
  cr_expect(share.host_count() == 40);
}

}  // namespace
}  // namespace knapweedroad
