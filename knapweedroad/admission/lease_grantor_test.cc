#include "knapweedroad/admission/lease_grantor.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const HostId kHostA("a");
const HostId kHostB("b");

LeaseRequest Ask(const HostId& holder,
                 uint64_t sequence,
                 bool release = false,
                 uint64_t incarnation = 1) {
  const LeaseAsk ask{.target = TargetId("t"),
                     .release = release,
                     .work_time = release ? Duration::zero() : seconds(3)};
  return {.holder = holder,
          .incarnation = incarnation,
          .sequence = sequence,
          .asks = {ask}};
}

// One that has been up for long enough to remember all that matters.
LeaseGrantor Settled() {
  return LeaseGrantor({.self = HostId("g"), .started = kStart - seconds(60)});
}

LeaseGrant Only(const std::optional<LeaseReply>& reply) {
  cr_assert(reply.has_value());
  return reply->grants.at(0);
}

Test(LeaseGrantor, GrantsToOneHolderAtATime) {
  LeaseGrantor grantor = Settled();
  cr_assert(Only(grantor.OnRequest(Ask(kHostA, 1), kStart)).granted);
  const TimePoint later = kStart + milliseconds(1999);
  cr_assert(!Only(grantor.OnRequest(Ask(kHostB, 1), later)).granted);
}

// A holder dies. The next one is granted the target as the lease runs out, but
// the target is still at what the dead holder sent in its last moment.
Test(LeaseGrantor, AfterAnExpiryTheNextWaitsForUnfinishedWork) {
  LeaseGrantor grantor = Settled();
  grantor.OnRequest(Ask(kHostA, 1), kStart);
  const LeaseGrant grant =
      Only(grantor.OnRequest(Ask(kHostB, 1), kStart + seconds(2)));
  cr_assert(grant.granted);
  cr_assert(grant.wait >= seconds(3));
}

Test(LeaseGrantor, AfterACleanReleaseTheNextNeedNotWait) {
  LeaseGrantor grantor = Settled();
  grantor.OnRequest(Ask(kHostA, 1), kStart);
  grantor.OnRequest(Ask(kHostA, 2, true), kStart);
  const LeaseGrant grant = Only(grantor.OnRequest(Ask(kHostB, 1), kStart));
  cr_assert(grant.granted);
  cr_assert(grant.wait == Duration::zero());
}

// A dies at work. B is granted the vote, gets no majority and gives it back.
// C must still wait for A's work: B speaks for its own only.
Test(LeaseGrantor, AReleaseDoesNotForgetWorkOfAnEarlierHolder) {
  LeaseGrantor grantor = Settled();
  grantor.OnRequest(Ask(kHostA, 1), kStart);
  grantor.OnRequest(Ask(kHostB, 1), kStart + seconds(2));
  grantor.OnRequest(Ask(kHostB, 2, true), kStart + seconds(2));
  const LeaseGrant grant =
      Only(grantor.OnRequest(Ask(HostId("c"), 1), kStart + seconds(2)));
  cr_assert(grant.wait >= seconds(3));
}

// A grantor restarts and has forgotten that A holds the target. Were it to
// grant it to B at once, both would send.
Test(LeaseGrantor, GrantsNothingForALeaseLengthAfterItsStart) {
  LeaseGrantor grantor({.self = HostId("g"), .started = kStart});
  cr_assert(
      !Only(grantor.OnRequest(Ask(kHostB, 1), kStart + seconds(2))).granted);
  const LeaseGrant grant =
      Only(grantor.OnRequest(Ask(kHostB, 2), kStart + milliseconds(2011)));
  cr_assert(grant.granted);
  cr_assert(grant.wait >= seconds(9), "A's work may run on");
}

// A gives back, takes again, and holds. The release, delayed on the way, comes
// in now: it must not free what is in use.
Test(LeaseGrantor, ADelayedReleaseFreesNothing) {
  LeaseGrantor grantor = Settled();
  grantor.OnRequest(Ask(kHostA, 1), kStart);
  grantor.OnRequest(Ask(kHostA, 3), kStart);
  cr_assert(!grantor.OnRequest(Ask(kHostA, 2, true), kStart).has_value());
  cr_assert(!Only(grantor.OnRequest(Ask(kHostB, 1), kStart)).granted);
}

Test(LeaseGrantor, ARestartedHolderWaitsForItsOwnFormerWork) {
  LeaseGrantor grantor = Settled();
  grantor.OnRequest(Ask(kHostA, 9), kStart);
  const LeaseGrant grant = Only(
      grantor.OnRequest(Ask(kHostA, 1, false, 2), kStart + milliseconds(500)));
  cr_assert(grant.granted);
  cr_assert(grant.wait >= seconds(3));
}

}  // namespace
}  // namespace knapweedroad
