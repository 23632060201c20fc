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

// With more hosts than a target takes connections, every host's one connection
// is one too many: each then keeps to a part of the targets.
Test(connection_share, all_hosts_together_stay_under_a_targets_cap) {
  for (const size_t hosts : {9, 66, 83, 300}) {
    for (const size_t cap : {26, 74, 560}) {
      ConnectionShare share;
      share.SetHosts(Hosts(hosts), kStart);
      constexpr size_t kTargets = 3;
      const TimePoint later = kStart + seconds(60);
      const size_t held = hosts * share.MaxPerTarget(cap, later) *
                          share.SubsetSize(kTargets, cap);
      // One connection a service is the least that a host can serve with.
      cr_expect(held <= std::max(kTargets * cap, hosts), "%zu hosts, cap %zu",
                hosts, cap);
    }
  }
}

// All hosts start at once and each believes to be alone.
Test(connection_share, a_host_that_knows_few_others_yet_takes_little) {
  ConnectionShare share;
  cr_expect(share.MaxPerTarget(74, kStart) <= 2);
  share.SetHosts(Hosts(2), kStart);
  cr_expect(share.MaxPerTarget(74, kStart + std::chrono::milliseconds(100)) <=
            2);
  cr_expect(share.MaxPerTarget(74, kStart + seconds(3)) > 2);
}

// Half of the hosts drop out of a list for a moment and are back.
Test(connection_share, hosts_that_have_just_gone_still_count) {
  ConnectionShare share;
  share.SetHosts(Hosts(40), kStart);
  share.SetHosts(Hosts(20), kStart + seconds(5));
  cr_expect(share.host_count() == 40);
}

}  // namespace
}  // namespace knapweedroad
