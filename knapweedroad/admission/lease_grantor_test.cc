#include "knapweedroad/admission/lease_grantor.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const HostId kHostA("a");
const HostId kHostB("b");

LeaseRequest Request(const HostId& holder,
                     uint64_t sequence,
                     bool release = false,
                     uint64_t incarnation = 1) {
  const LeaseOperation operation{
      .target = TargetId("t"),
      .release = release,
      .work_time = release ? Duration::zero() : seconds(3)};
  return {.holder = holder,
          .incarnation = incarnation,
          .sequence = sequence,
          .operations = {operation}};
}

// Returns a grantor that started long enough ago to grant leases at `kStart`.
LeaseGrantor GrantorAfterStartDelay() {
  return LeaseGrantor({.self = HostId("g"), .started = kStart - seconds(60)});
}

LeaseGrant OnlyGrant(const std::optional<LeaseReply>& reply) {
  cr_assert(reply.has_value());
  return reply->grants.at(0);
}

Test(LeaseGrantor, GrantsToOneHolderAtATime) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  cr_assert(OnlyGrant(grantor.OnRequest(Request(kHostA, 1), kStart)).granted);
  const TimePoint later = kStart + milliseconds(1999);
  cr_assert(!OnlyGrant(grantor.OnRequest(Request(kHostB, 1), later)).granted);
}

// A holder crashes, and its lease expires. The target may still be running an
// attempt that the holder sent just before the expiry.
Test(LeaseGrantor, NextHolderWaitsForUnfinishedWorkAfterExpiry) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  const LeaseGrant grant =
      OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart + seconds(2)));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay >= seconds(3));
}

Test(LeaseGrantor, NextHolderStartsAtOnceAfterRelease) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  grantor.OnRequest(Request(kHostA, 2, true), kStart);
  const LeaseGrant grant =
      OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay == Duration::zero());
}

// A crashes with attempts running. B gets the vote but no majority, and
// releases the vote. C must still wait for A's attempts, since B's release
// covers only its own.
Test(LeaseGrantor, ReleaseKeepsRecordOfEarlierHoldersWork) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  grantor.OnRequest(Request(kHostB, 1), kStart + seconds(2));
  grantor.OnRequest(Request(kHostB, 2, true), kStart + seconds(2));
  const LeaseGrant grant = OnlyGrant(
      grantor.OnRequest(Request(HostId("c"), 1), kStart + seconds(2)));
  cr_assert(grant.start_delay >= seconds(3));
}

// A grantor restarts and loses the record that A holds the target. If it
// granted the target to B at once, both would send.
Test(LeaseGrantor, GrantsNothingForOneLeaseLengthAfterStart) {
  LeaseGrantor grantor({.self = HostId("g"), .started = kStart});
  cr_assert(
      !OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart + seconds(2)))
           .granted);
  const LeaseGrant grant = OnlyGrant(
      grantor.OnRequest(Request(kHostB, 2), kStart + milliseconds(2011)));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay >= seconds(9), "A's attempts may still run");
}

// A releases its grant and requests it again. The release is delayed and
// arrives last; it must not free a grant that is in use.
Test(LeaseGrantor, IgnoresDelayedRelease) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  grantor.OnRequest(Request(kHostA, 3), kStart);
  cr_assert(!grantor.OnRequest(Request(kHostA, 2, true), kStart).has_value());
  cr_assert(!OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart)).granted);
}

Test(LeaseGrantor, RestartedHolderWaitsForItsFormerWork) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 9), kStart);
  const LeaseGrant grant = OnlyGrant(grantor.OnRequest(
      Request(kHostA, 1, false, 2), kStart + milliseconds(500)));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay >= seconds(3));
}

}  // namespace
}  // namespace knapweedroad
