#include "knapweedroad/quota/leader_lease.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

BootTime At(int64_t ms) {
  return BootTime(milliseconds(100'000 + ms));
}

const QuotaLeaderRecord kFirst{.host = HostId("a"), .term = 1};
const QuotaLeaderRecord kSecond{.host = HostId("b"), .term = 2};

// Guards against a leader that grants while its predecessor's lease runs.
Test(LeaderLease, ANewTermWaitsForTheLeaseOfTheTermBefore) {
  LeaderLease before({.self = kFirst.host});
  before.OnAgreed(kFirst, At(-2000));
  before.OnConfirmed(kFirst, At(-1));
  LeaderLease after({.self = kSecond.host});
  after.OnAgreed(kSecond, At(0));
  for (int64_t ms = 0; ms < 2000; ++ms) {
    after.OnConfirmed(kSecond, At(ms));
    cr_assert(!before.IsHeld(At(ms)) || !after.IsHeld(At(ms)));
  }
  cr_assert(after.IsHeld(At(1999)));
  cr_assert_eq(after.term(), 2u);
}

// Guards against requests that wait for a lease that nobody else can hold, for
// example after all hosts were restarted.
Test(LeaderLease, TheFirstTermBeginsWithItsConfirmation) {
  LeaderLease lease({.self = kFirst.host});
  lease.OnAgreed(kFirst, At(0));
  cr_assert_not(lease.IsHeld(At(0)));
  lease.OnConfirmed(kFirst, At(10));
  cr_assert(lease.IsHeld(At(10)));
  cr_assert_not(lease.IsHeld(At(1010)));
}

// Guards against a leader that grants without a quorum.
Test(LeaderLease, EndsWithoutANewConfirmation) {
  LeaderLease lease({.self = kFirst.host});
  lease.OnAgreed(kFirst, At(0));
  cr_assert_not(lease.IsHeld(At(1500)));
  lease.OnConfirmed(kFirst, At(1500));
  lease.OnConfirmed(kFirst, At(1400));
  cr_assert(lease.IsHeld(At(2499)));
  cr_assert_not(lease.IsHeld(At(2500)));
}

// Guards against confirmations of another term or host being counted.
Test(LeaderLease, OnlyTheNewestAgreedTermCounts) {
  LeaderLease lease({.self = kFirst.host});
  lease.OnAgreed(kFirst, At(0));
  lease.OnConfirmed(kSecond, At(1500));
  cr_assert_not(lease.IsHeld(At(1600)));
  lease.OnConfirmed(kFirst, At(1500));
  cr_assert(lease.IsHeld(At(1600)));
  lease.OnAgreed(kSecond, At(1600));
  lease.OnAgreed(kFirst, At(1601));
  lease.OnConfirmed(kFirst, At(1601));
  cr_assert_not(lease.IsHeld(At(1700)));
  cr_assert_eq(lease.term(), 0u);
}

}  // namespace
}  // namespace knapweedroad
