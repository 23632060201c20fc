#include "knapweedroad/admission/rendezvous.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {
namespace {

std::vector<PeerSettings> Hosts(int zone_a, int zone_b) {
  std::vector<PeerSettings> hosts;
  for (int i = 0; i < zone_a + zone_b; ++i) {
    const char* zone = i < zone_a ? "a" : "b";
    PeerSettings peer;
    peer.name = HostId(zone + std::to_string(i));
    peer.zone = ZoneId(zone);
    hosts.push_back(peer);
  }
  return hosts;
}

Test(Rendezvous, NumberOfVotersIsOddIfAnotherZoneExists) {
  cr_assert_eq(LeaseVoters(ZoneId("a"), Hosts(1, 2)).size(), 1u);
  const auto two = LeaseVoters(ZoneId("a"), Hosts(2, 3));
  cr_assert_eq(two.size(), 3u);
  cr_assert_eq(two.back().str(), "b2");
  cr_assert_eq(LeaseVoters(ZoneId("b"), Hosts(2, 3)).size(), 3u);
  cr_assert_eq(LeaseVoters(ZoneId("a"), Hosts(9, 3)).size(), 5u);
  cr_assert_eq(LeaseVoters(ZoneId("a"), Hosts(2, 0)).size(), 2u);
}

Test(Rendezvous, RemovingHostMovesOnlyItsTargets) {
  const std::vector<HostId> all{HostId("a"), HostId("b"), HostId("c")};
  const std::vector<HostId> rest{HostId("a"), HostId("c")};
  int moved = 0;
  for (int i = 0; i < 300; ++i) {
    const TargetId target("t" + std::to_string(i));
    const HostId before = RendezvousOrder(target, all).front();
    const HostId after = RendezvousOrder(target, rest).front();
    cr_assert(before == after || before == HostId("b"));
    moved += before != after ? 1 : 0;
  }
  cr_assert(moved > 60 && moved < 140, "%d", moved);
}

}  // namespace
}  // namespace knapweedroad
