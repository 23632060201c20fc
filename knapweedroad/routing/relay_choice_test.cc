#include "knapweedroad/routing/relay_choice.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
const ZoneId kA("a");
const ZoneId kB("b");
const ZoneId kC("c");

std::vector<EntryHostRecord> Hosts() {
  std::vector<EntryHostRecord> hosts;
  for (const ZoneId& zone : {kA, kB, kC}) {
    for (int i = 0; i < 8; ++i) {
      hosts.push_back({.host = HostId(zone.str() + std::to_string(i)),
                       .zone = zone,
                       .peer_address = {"10.0.0.1", 7740}});
    }
  }
  return hosts;
}

RelayChoice MakeChoice(const char* self = "a0") {
  RelayChoice relays({.self = HostId(self), .zone = kA});
  relays.SetHosts(Hosts());
  return relays;
}

Test(relay_choice, each_host_uses_a_few_hosts_of_another_zone) {
  RelayChoice relays = MakeChoice();
  std::set<HostId> used;
  for (int i = 0; i < 50; ++i) {
    const auto relay = relays.Choose(kB, {}, kStart);
    cr_assert(relay.has_value());
    cr_expect(relay->zone == kB);
    used.insert(relay->host);
    relays.OnCalled(relay->host, kStart + seconds(1));
  }
  cr_expect(used.size() == 2);
  cr_expect(!relays.Choose(kA, {}, kStart).has_value());
}

// Guards against a few hosts that gather parts for all others.
Test(relay_choice, hosts_together_use_all_hosts_of_a_zone) {
  std::set<HostId> used;
  for (int i = 0; i < 40; ++i) {
    RelayChoice relays = MakeChoice(("a" + std::to_string(i)).c_str());
    const auto first = relays.Choose(kB, {}, kStart);
    relays.OnCalled(first->host, kStart + seconds(1));
    used.insert(first->host);
    used.insert(relays.Choose(kB, {}, kStart)->host);
  }
  cr_expect(used.size() == 8, "%zu", used.size());
}

Test(relay_choice, zones_come_in_random_order) {
  RelayChoice relays = MakeChoice();
  std::set<ZoneId> first;
  for (int i = 0; i < 30; ++i) {
    const std::vector<ZoneId> zones = relays.AvailableZones(kStart);
    cr_assert(zones.size() == 2);
    first.insert(zones.front());
  }
  cr_expect(first.size() == 2);
}

// Guards against callers that wait for a host that hangs: its connection stays
// open, and no reply arrives.
Test(relay_choice, a_host_with_an_overdue_reply_is_not_chosen) {
  RelayChoice relays = MakeChoice();
  const HostId hanging = relays.Choose(kB, {}, kStart)->host;
  const TimePoint deadline = kStart + milliseconds(70);
  relays.OnCalled(hanging, deadline);
  for (int i = 0; i < 10; ++i) {
    cr_expect(relays.Choose(kB, {}, kStart + milliseconds(80))->host !=
              hanging);
  }
  relays.OnReplied(hanging, deadline);
  cr_expect(relays.Choose(kB, {}, kStart + milliseconds(90)).has_value());
}

// Guards against repeated calls to a zone that is cut off or a host that is
// gone.
Test(relay_choice, a_host_that_failed_is_avoided_for_a_while) {
  RelayChoice relays = MakeChoice();
  for (int i = 0; i < 2; ++i) {
    const HostId host = relays.Choose(kB, {}, kStart)->host;
    relays.OnCalled(host, kStart + seconds(1));
    relays.OnFailed(host, kStart + seconds(1), kStart);
  }
  cr_expect(!relays.Choose(kB, {}, kStart + milliseconds(500)).has_value());
  cr_expect(relays.AvailableZones(kStart + milliseconds(500)) ==
            std::vector{kC});
  cr_expect(relays.Choose(kB, {}, kStart + milliseconds(1100)).has_value());
}

Test(relay_choice, a_host_that_left_the_list_is_not_chosen) {
  RelayChoice relays = MakeChoice();
  relays.SetHosts({});
  cr_expect(relays.AvailableZones(kStart).empty());
  relays.OnCalled(HostId("b1"), kStart);
  relays.OnFailed(HostId("b1"), kStart, kStart);
}

}  // namespace
}  // namespace knapweedroad
