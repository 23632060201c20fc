#include "knapweedroad/membership/holder_directory.h"

#include <criterion/criterion.h>

#include "knapweedroad/membership/heartbeat.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const TargetId kTarget("t");

Heartbeat MakeClaim(const char* host,
                    Duration held_for,
                    bool isolated = false) {
  Heartbeat heartbeat{.host = HostId(host)};
  heartbeat.held_targets = {{.target = kTarget,
                             .slots = 2,
                             .isolated = isolated,
                             .held_for = held_for}};
  return heartbeat;
}

// The former holder's last claim is delayed and arrives after the claim of the
// new holder. Requests must not be routed to the former holder again.
Test(HolderDirectory, DelayedClaimDoesNotReplaceLaterClaim) {
  HolderDirectory directory({});
  directory.OnHeartbeat(MakeClaim("b-new", milliseconds(10)), kStart);
  directory.OnHeartbeat(MakeClaim("a-old", seconds(60)), kStart);
  cr_assert(directory.HolderOf(kTarget, kStart) == HostId("b-new"));
}

Test(HolderDirectory, TargetMissingFromHeartbeatIsNoLongerHeld) {
  HolderDirectory directory({});
  directory.OnHeartbeat(MakeClaim("a", seconds(1)), kStart);
  directory.OnHeartbeat({.host = HostId("a")}, kStart);
  cr_assert(!directory.HolderOf(kTarget, kStart).has_value());
}

Test(HolderDirectory, ClaimExpiresWithoutHeartbeat) {
  HolderDirectory directory({});
  directory.OnHeartbeat(MakeClaim("a", seconds(1)), kStart);
  cr_assert(directory.HolderOf(kTarget, kStart + seconds(1)).has_value());
  cr_assert(!directory.HolderOf(kTarget, kStart + seconds(2)).has_value());
}

Test(HolderDirectory, PrefersHolderWithMajorityToIsolatedHolder) {
  HolderDirectory directory({});
  directory.OnHeartbeat(MakeClaim("alone", milliseconds(1), true), kStart);
  directory.OnHeartbeat(MakeClaim("holder", seconds(9)), kStart);
  cr_assert(directory.HolderOf(kTarget, kStart) == HostId("holder"));
}

}  // namespace
}  // namespace knapweedroad
