#include "knapweedroad/edge/zone_connectivity.h"

#include <criterion/criterion.h>

#include <vector>

#include "knapweedroad/registry/control_hosts_view.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {
namespace {

const ControlHostRecord kSelf = {.host = HostId("a1"), .zone = ZoneId("a")};
const ControlHostRecord kOther = {.host = HostId("b1"), .zone = ZoneId("b")};

// Guards against a zone that takes itself for cut off while it starts, and
// sends its callers away.
Test(zone_connectivity, a_zone_that_never_reached_others_is_not_cut_off) {
  ZoneConnectivity connectivity(ZoneId("a"));
  cr_expect(not connectivity.Update(std::vector{kSelf}, {}));
  cr_expect(not connectivity.is_cut_off());
}

// Guards against followers that are not told that their zone is cut off, or
// that it is reached again.
Test(zone_connectivity, a_cut_and_its_end_are_told) {
  ZoneConnectivity connectivity(ZoneId("a"));
  cr_expect(not connectivity.Update(std::vector{kSelf, kOther}, {}));
  cr_expect(connectivity.Update(std::vector{kSelf}, {}));
  cr_expect(connectivity.is_cut_off());
  cr_expect(not connectivity.Update(std::vector{kSelf}, {}));
  cr_expect(connectivity.Update(std::vector{kSelf, kOther}, {}));
  cr_expect(not connectivity.is_cut_off());
}

// Guards against entry hosts that go on following one control host of the zone
// when that misses news of others.
Test(zone_connectivity, missing_a_control_host_is_told) {
  ZoneConnectivity connectivity(ZoneId("a"));
  cr_expect(
      connectivity.Update(std::vector{kSelf, kOther}, {.has_full_view = true}));
  cr_expect(connectivity.hears_all());
  cr_expect(connectivity.Update(std::vector{kSelf, kOther}, {}));
  cr_expect(not connectivity.hears_all());
}

}  // namespace
}  // namespace knapweedroad
