#include "knapweedroad/registry/announcement_redirect.h"

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

// Guards against targets that contact a control host of another zone first and
// send announcements across zones for their whole lifetime.
Test(announcement_redirect,
     targets_are_redirected_to_control_hosts_of_their_zone) {
  std::set<HostId> chosen;
  for (int i = 0; i < 40; ++i) {
    const AnnouncementOrigin origin{
        .contacted_zone = kA,
        .zone = kB,
        .target = TargetId("i-" + std::to_string(i))};
    chosen.insert(FindControlHostInZone(kLive, origin).value());
  }
  const std::set<HostId> in_zone = {HostId("c2"), HostId("c3")};
  cr_expect(chosen == in_zone);
}

Test(announcement_redirect, no_redirect_without_a_control_host_in_the_zone) {
  const AnnouncementOrigin contacted_own_zone{
      .contacted_zone = kB, .zone = kB, .target = TargetId("i")};
  cr_expect(!FindControlHostInZone(kLive, contacted_own_zone).has_value());
  const AnnouncementOrigin no_host_in_zone{
      .contacted_zone = kA, .zone = ZoneId("c"), .target = TargetId("i")};
  cr_expect(!FindControlHostInZone(kLive, no_host_in_zone).has_value());
}

}  // namespace
}  // namespace knapweedroad
