#include "knapweedroad/membership/host_view.h"

#include <criterion/criterion.h>

#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const HostId kHostB("b");

HostView MakeTwoHostView() {
  std::vector<PeerSettings> hosts(2);
  hosts[0].name = HostId("a");
  hosts[1].name = kHostB;
  hosts[1].zone = ZoneId("z");
  return HostView({.self = HostId("a"), .hosts = hosts});
}

Heartbeat MakeHeartbeat(uint64_t incarnation, uint64_t sequence) {
  return {.host = kHostB,
          .incarnation = incarnation,
          .sequence = sequence,
          .configuration_version = sequence,
          .can_hold_leases = true};
}

Test(HostView, HostIsAliveOnlyWithinOneSecondOfItsLastHeartbeat) {
  HostView view = MakeTwoHostView();
  cr_assert(!view.IsAlive(kHostB, kStart));
  cr_assert(view.OnHeartbeat(MakeHeartbeat(1, 1), kStart));
  cr_assert(view.IsAlive(kHostB, kStart + milliseconds(999)));
  cr_assert(!view.IsAlive(kHostB, kStart + seconds(1)));
}

// A firewall drops the state of the UDP flow between two hosts, or a TCP
// connection stalls. The host must not count as dead while messages arrive over
// any other channel.
Test(HostView, MessageOnAnyChannelKeepsHostAlive) {
  HostView view = MakeTwoHostView();
  view.OnHeartbeat(MakeHeartbeat(1, 1), kStart);
  view.OnMessage(kHostB, kStart + milliseconds(900));
  cr_assert(view.IsAlive(kHostB, kStart + milliseconds(1500)));
}

Test(HostView, RejectsOlderHeartbeat) {
  HostView view = MakeTwoHostView();
  view.OnHeartbeat(MakeHeartbeat(2, 5), kStart);
  cr_assert(!view.OnHeartbeat(MakeHeartbeat(2, 5), kStart),
            "duplicate received over the other channel");
  cr_assert(!view.OnHeartbeat(MakeHeartbeat(2, 4), kStart));
  cr_assert(!view.OnHeartbeat(MakeHeartbeat(1, 9), kStart));
  cr_assert_eq(view.CountHostsWithVersion(5), 1u);
  cr_assert_eq(view.CountHostsWithVersion(6), 0u);
}

Test(HostView, AcceptsOlderIncarnationAfterTimeout) {
  HostView view = MakeTwoHostView();
  view.OnHeartbeat(MakeHeartbeat(9, 5), kStart);
  cr_assert(!view.OnHeartbeat(MakeHeartbeat(3, 1), kStart + seconds(5)));
  cr_assert(view.OnHeartbeat(MakeHeartbeat(3, 2), kStart + seconds(11)));
}

// A heartbeat that a host sent just before its shutdown arrives after the
// shutdown message. A host that has exited must not be granted leases.
Test(HostView, ShutdownLastsUntilLaterIncarnation) {
  HostView view = MakeTwoHostView();
  view.OnHeartbeat(MakeHeartbeat(1, 1), kStart);
  view.OnShutdown(kHostB, 1);
  view.OnHeartbeat(MakeHeartbeat(1, 2), kStart);
  cr_assert(!view.IsAlive(kHostB, kStart));
  view.OnHeartbeat(MakeHeartbeat(2, 1), kStart);
  cr_assert(view.IsAlive(kHostB, kStart));
}

Test(HostView, LeavingHostIsNotALeaseCandidate) {
  HostView view = MakeTwoHostView();
  Heartbeat heartbeat = MakeHeartbeat(1, 1);
  view.OnHeartbeat(heartbeat, kStart);
  cr_assert_eq(view.LeaseCandidates(ZoneId("z"), kStart).size(), 1u);
  heartbeat.sequence = 2;
  heartbeat.leaving = true;
  view.OnHeartbeat(heartbeat, kStart);
  cr_assert(view.LeaseCandidates(ZoneId("z"), kStart).empty());
}

}  // namespace
}  // namespace knapweedroad
