#include "knapweedroad/registry/announce_plan.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

namespace knapweedroad {
namespace {

const ZoneId kA("a");
const ZoneId kB("b");

const std::vector<ControlHostRecord> kLive = {{HostId("c1"), kA},
                                              {HostId("c2"), kB},
                                              {HostId("c3"), kB}};

// Guards against announcements that cross between zones for as long as a target
// lives because it reached another zone's control host first.
Test(announce_plan, a_target_is_sent_to_a_control_host_of_its_zone) {
  std::set<HostId> used;
  for (int i = 0; i < 40; ++i) {
    const AnnouncePlace place{.reached = kA,
                              .zone = kB,
                              .target = TargetId("i-" + std::to_string(i))};
    used.insert(NearerControlHost(kLive, place).value());
  }
  const std::set<HostId> near = {HostId("c2"), HostId("c3")};
  cr_expect(used == near);
}

Test(announce_plan, it_stays_where_it_is_if_nobody_is_nearer) {
  const AnnouncePlace at_home{
      .reached = kB, .zone = kB, .target = TargetId("i")};
  cr_expect(!NearerControlHost(kLive, at_home).has_value());
  const AnnouncePlace alone{
      .reached = kA, .zone = ZoneId("c"), .target = TargetId("i")};
  cr_expect(!NearerControlHost(kLive, alone).has_value());
}

}  // namespace
}  // namespace knapweedroad
