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

// One that has been up for long enough to remember all that matters.
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

// A holder dies. The next one is granted the target as the lease runs out, but
// the target is still at what the dead holder sent in its last moment.
Test(LeaseGrantor, AfterAnExpiryTheNextWaitsForUnfinishedWork) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  const LeaseGrant grant =
      OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart + seconds(2)));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay >= seconds(3));
}

Test(LeaseGrantor, AfterACleanReleaseTheNextNeedNotWait) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  grantor.OnRequest(Request(kHostA, 2, true), kStart);
  const LeaseGrant grant =
      OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay == Duration::zero());
}

// A dies at work. B is granted the vote, gets no majority and gives it back.
// C must still wait for A's work: B speaks for its own only.
Test(LeaseGrantor, AReleaseDoesNotForgetWorkOfAnEarlierHolder) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  grantor.OnRequest(Request(kHostB, 1), kStart + seconds(2));
  grantor.OnRequest(Request(kHostB, 2, true), kStart + seconds(2));
  const LeaseGrant grant = OnlyGrant(
      grantor.OnRequest(Request(HostId("c"), 1), kStart + seconds(2)));
  cr_assert(grant.start_delay >= seconds(3));
}

// A grantor restarts and has forgotten that A holds the target. Were it to
// grant it to B at once, both would send.
Test(LeaseGrantor, GrantsNothingForALeaseLengthAfterItsStart) {
  LeaseGrantor grantor({.self = HostId("g"), .started = kStart});
  cr_assert(
      !OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart + seconds(2)))
           .granted);
  const LeaseGrant grant = OnlyGrant(
      grantor.OnRequest(Request(kHostB, 2), kStart + milliseconds(2011)));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay >= seconds(9), "A's work may run on");
}

// A gives back, takes again, and holds. The release, delayed on the way, comes
// in now: it must not free what is in use.
Test(LeaseGrantor, ADelayedReleaseFreesNothing) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 1), kStart);
  grantor.OnRequest(Request(kHostA, 3), kStart);
  cr_assert(!grantor.OnRequest(Request(kHostA, 2, true), kStart).has_value());
  cr_assert(!OnlyGrant(grantor.OnRequest(Request(kHostB, 1), kStart)).granted);
}

Test(LeaseGrantor, ARestartedHolderWaitsForItsOwnFormerWork) {
  LeaseGrantor grantor = GrantorAfterStartDelay();
  grantor.OnRequest(Request(kHostA, 9), kStart);
  const LeaseGrant grant = OnlyGrant(grantor.OnRequest(
      Request(kHostA, 1, false, 2), kStart + milliseconds(500)));
  cr_assert(grant.granted);
  cr_assert(grant.start_delay >= seconds(3));
}

}  // namespace
}  // namespace knapweedroad
