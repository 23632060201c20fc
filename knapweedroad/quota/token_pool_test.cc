#include "knapweedroad/quota/token_pool.h"

#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/quota/quota_messages.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

const AccountId kAccount("a");

BootTime At(int64_t ms) {
  return BootTime(milliseconds(100'000 + ms));
}

struct Fixture {
  TokenPool pool{{.host = HostId("p"), .incarnation = 7}};
  std::vector<QuotaDecision> decisions;

  void Take(int64_t ms) {
    this->pool.Take(kAccount, At(ms), [this](const QuotaDecision& decision) {
      this->decisions.push_back(decision);
    });
  }
  int Count(QuotaOutcome outcome) const {
    int count = 0;
    for (const QuotaDecision& decision : this->decisions) {
      count += decision.outcome == outcome ? 1 : 0;
    }
    return count;
  }
  void Reply(uint64_t sequence, RefillGrant grant, int64_t ms) {
    grant.account = kAccount;
    this->pool.OnReply(sequence, {.is_leader = true, .grants = {grant}},
                       At(ms));
  }
  // One call with this grant, made and answered at the same time.
  RefillCall Call(RefillGrant grant, int64_t ms) {
    RefillCall call = this->pool.MakeCall(At(ms));
    this->Reply(call.sequence, std::move(grant), ms);
    return call;
  }
};

// Guards against a token that is used after the leader counts it as expired.
Test(TokenPool, TokensExpireCountedFromTheCall) {
  Fixture fixture;
  fixture.Take(0);
  const RefillCall call = fixture.pool.MakeCall(At(0));
  fixture.Reply(call.sequence, {.granted = 5}, 1000);
  cr_assert_eq(fixture.pool.HeldTokens(At(3999)), 4u);
  cr_assert_eq(fixture.pool.HeldTokens(At(4000)), 0u);
  fixture.Take(4000);
  cr_assert_eq(fixture.decisions.size(), 1u);
}

// Guards against requests that hang when the leader can't be reached.
Test(TokenPool, WaitingRequestsAreUnknownAfterAFailedCall) {
  Fixture fixture;
  fixture.Take(0);
  const RefillCall call = fixture.pool.MakeCall(At(0));
  cr_assert_not(fixture.pool.IsCallDue(At(1000)));
  fixture.Take(10);
  fixture.pool.OnCallFailed(call.sequence, At(100));
  cr_assert_eq(fixture.Count(QuotaOutcome::kUnknown), 2);
  cr_assert_eq(fixture.pool.waiting_count(), 0u);
  // The late reply grants nothing.
  fixture.Reply(call.sequence, {.granted = 5}, 101);
  cr_assert_eq(fixture.pool.HeldTokens(At(101)), 0u);
  fixture.Take(102);
  cr_assert(fixture.pool.IsCallDue(At(102)));
}

// Guards against a call for each request while an account is over its quota.
Test(TokenPool, AnswersAtOnceWhileTheLeaderIsKnownToBeEmpty) {
  Fixture fixture;
  fixture.Take(0);
  fixture.Take(0);
  fixture.Call({.granted = 1,
                .retry_after_ms = 700,
                .retry_step_ms = 200,
                .empty_ms = 500},
               0);
  cr_assert_eq(fixture.Count(QuotaOutcome::kGranted), 1);
  fixture.Take(99);
  cr_assert_eq(fixture.Count(QuotaOutcome::kOverQuota), 2);
  cr_assert(fixture.decisions[1].retry_after == milliseconds(700));
  cr_assert(fixture.decisions[2].retry_after == milliseconds(801));
  fixture.Take(100);
  cr_assert_eq(fixture.pool.waiting_count(), 1u);
}

// Guards against a request that arrives during a call being rejected by the
// reply to it though the leader has tokens.
Test(TokenPool, ARequestThatArrivesDuringACallWaitsForTheNext) {
  Fixture fixture;
  fixture.Take(0);
  const RefillCall call = fixture.pool.MakeCall(At(0));
  fixture.Take(5);
  fixture.Reply(call.sequence, {.granted = 1}, 10);
  cr_assert_eq(fixture.pool.waiting_count(), 1u);
  cr_assert(fixture.pool.IsCallDue(At(10)));
  const RefillCall next = fixture.Call({.granted = 1}, 10);
  cr_assert_eq(next.accounts.at(0).waiting, 1u);
  cr_assert_eq(fixture.Count(QuotaOutcome::kGranted), 2);
}

// Guards against a token that counts as spent at the leader and is used again.
Test(TokenPool, ATokenIsReturnedOnlyUntilItIsReported) {
  Fixture fixture;
  fixture.Take(0);
  fixture.Call({.granted = 2}, 0);
  fixture.pool.Return(kAccount, At(1));
  cr_assert_eq(fixture.pool.HeldTokens(At(1)), 2u);
  fixture.Take(2);
  cr_assert_eq(fixture.Call({}, 250).accounts.at(0).spent_total, 1u);
  fixture.pool.Return(kAccount, At(251));
  cr_assert_eq(fixture.pool.HeldTokens(At(251)), 1u);
}

// Pattern: even traffic of 10 requests a second that stops. Guards against
// stock that stays with a pool whose callers have gone.
Test(TokenPool, HoldsThreeSecondsOfDemandAndGivesItBack) {
  Fixture fixture;
  RefillCall call;
  uint64_t held = 0;
  for (int64_t ms = 0; ms < 10'000; ms += 250) {
    for (int64_t i = 0; i < 250; i += 100) {
      fixture.Take(ms + i);
    }
    call = fixture.pool.MakeCall(At(ms + 249));
    held = call.accounts.at(0).held;
    const uint32_t missing =
        call.accounts.at(0).waiting +
        static_cast<uint32_t>(call.accounts.at(0).wanted - held);
    fixture.Reply(call.sequence, {.granted = missing}, ms + 249);
  }
  cr_assert_geq(call.accounts.at(0).wanted, 25u);
  cr_assert_leq(call.accounts.at(0).wanted, 45u);
  cr_assert_geq(held, 25u);
  call = fixture.pool.MakeCall(At(14'000));
  cr_assert_leq(call.accounts.at(0).held, 6u);
  fixture.Reply(call.sequence, {}, 14'000);
  fixture.Call({}, 30'000);
  cr_assert(fixture.Call({}, 31'000).accounts.empty());
}

// Guards against a call that grows with all accounts ever seen, for each
// waiting request.
Test(TokenPool, BetweenReportsACallHasOnlyWaitingAccounts) {
  Fixture fixture;
  for (int i = 0; i < 1000; ++i) {
    fixture.pool.Take(AccountId(std::to_string(i)), At(0), [](const auto&) {});
  }
  const RefillCall call = fixture.pool.MakeCall(At(0));
  cr_assert_eq(call.accounts.size(), 1000u);
  fixture.pool.OnCallFailed(call.sequence, At(10));
  cr_assert_not(fixture.pool.IsCallDue(At(10)));
  fixture.Take(10);
  cr_assert_eq(fixture.pool.MakeCall(At(10)).accounts.size(), 1u);
}

}  // namespace
}  // namespace knapweedroad
