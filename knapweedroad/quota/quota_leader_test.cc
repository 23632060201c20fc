#include "knapweedroad/quota/quota_leader.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/quota/quota_messages.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

const AccountId kAccount("a");
const QuotaTolerance kTolerance{.overshoot = 0.1, .slack = 20};

BootTime At(int64_t ms) {
  return BootTime(milliseconds(100'000 + ms));
}

std::vector<ClientAccount> Accounts(double rate, double burst) {
  return {{.name = kAccount, .quota = {.rate = rate, .burst = burst}}};
}

// With all its tokens available.
QuotaLeader FullLeader(double rate, double burst) {
  QuotaLeader leader({.tolerance = kTolerance});
  leader.SetAccounts({}, At(-10'000));
  leader.SetAccounts(Accounts(rate, burst), At(0));
  return leader;
}

RefillGrant Ask(QuotaLeader& leader,
                const char* host,
                uint64_t sequence,
                PoolAccount report,
                int64_t ms) {
  report.account = kAccount;
  const RefillReply reply = leader.Answer({.host = HostId(host),
                                           .incarnation = 7,
                                           .sequence = sequence,
                                           .accounts = {report}},
                                          At(ms));
  cr_assert(reply.is_leader);
  return reply.grants.empty() ? RefillGrant{} : reply.grants.front();
}

// Guards against a burst beyond the capacity, also after a long idle time.
Test(QuotaLeader, GrantsAtMostTheCapacityAndTheRate) {
  QuotaLeader leader = FullLeader(4, 6);
  const double capacity = QuotaCapacity({.rate = 4, .burst = 6}, kTolerance);
  const auto whole = static_cast<uint32_t>(capacity);
  cr_assert_eq(Ask(leader, "p", 1, {.waiting = 100}, 60'000).granted, whole);
  cr_assert_eq(
      Ask(leader, "p", 2, {.spent_total = whole, .waiting = 100}, 61'000)
          .granted,
      0u);
  cr_assert_eq(
      Ask(leader, "p", 3, {.spent_total = whole, .waiting = 100}, 62'000)
          .granted,
      4u);
}

// Guards against tokens of a lost reply being lost to the account.
Test(QuotaLeader, TokensOfAnIgnoredReplyGoBackToTheBucket) {
  QuotaLeader leader = FullLeader(0.001, 0);
  cr_assert_eq(Ask(leader, "p", 1, {.waiting = 10}, 0).granted, 10u);
  cr_assert_eq(Ask(leader, "q", 1, {.waiting = 1}, 100).granted, 0u);
  cr_assert_eq(
      Ask(leader, "p", 2, {.spent_total = 1, .waiting = 0}, 200).granted, 0u);
  cr_assert_eq(Ask(leader, "q", 2, {.waiting = 20}, 300).granted, 9u);
}

// Guards against a delayed or repeated call undoing a later report.
Test(QuotaLeader, OlderAndRepeatedCallsChangeNothing) {
  QuotaLeader leader = FullLeader(0.001, 0);
  Ask(leader, "p", 5, {.waiting = 4}, 0);
  const double available = leader.AvailableTokens(kAccount, At(1));
  for (const uint64_t sequence : {5, 4, 1}) {
    cr_assert_eq(Ask(leader, "p", sequence, {.waiting = 4}, 1).granted, 0u);
    cr_assert_eq(leader.OutstandingTokens(kAccount, At(1)), 4);
    cr_assert_eq(leader.AvailableTokens(kAccount, At(1)), available);
  }
}

// Guards against tokens of a restarted pool coming back while its old process
// may still run.
Test(QuotaLeader, TokensOfAGoneIncarnationStayOutstandingUntilTheyExpire) {
  QuotaLeader leader = FullLeader(2, 0);
  Ask(leader, "p", 1, {.waiting = 10}, 0);
  leader.Answer({.host = HostId("p"),
                 .incarnation = 8,
                 .sequence = 1,
                 .accounts = {{.account = kAccount}}},
                At(100));
  cr_assert_eq(leader.OutstandingTokens(kAccount, At(4000)), 10);
  cr_assert_eq(leader.AvailableTokens(kAccount, At(4000)), 0);
  cr_assert_eq(leader.OutstandingTokens(kAccount, At(4010)), 0);
  // The time before the expiry doesn't count for the refill.
  cr_assert_lt(leader.AvailableTokens(kAccount, At(4500)), 1.01);
}

// Guards against a new leader granting the capacity a second time.
Test(QuotaLeader, ANewLeaderStartsWithFewTokensAndCountsEarlierOnes) {
  QuotaLeader leader({.tolerance = kTolerance});
  leader.SetAccounts(Accounts(100, 0), At(-1000));
  cr_assert_eq(Ask(leader, "p", 1, {.waiting = 50}, 0).granted, 2u);
  // Half of the reserve of 10, until earlier tokens have expired.
  cr_assert_eq(leader.AvailableTokens(kAccount, At(3999)), 3);
  Ask(leader, "q", 1, {.held = 8}, 3999);
  cr_assert_eq(leader.OutstandingTokens(kAccount, At(3999)), 10);
  cr_assert_eq(leader.AvailableTokens(kAccount, At(4000)), 0);
}

// Guards against a lowered limit that takes effect only after stock is used.
Test(QuotaLeader, ALoweredLimitBindsAtOnce) {
  QuotaLeader leader = FullLeader(10, 100);
  Ask(leader, "p", 1, {.waiting = 50}, 0);
  leader.SetAccounts(Accounts(1, 0), At(1));
  cr_assert_eq(Ask(leader, "q", 1, {.waiting = 50}, 2).granted, 0u);
  cr_assert_eq(leader.OutstandingTokens(kAccount, At(2)), 50);
}

// Guards against an account that gets its burst again by removal and return.
Test(QuotaLeader, AnAccountThatComesBackWithinAWindowKeepsItsTokens) {
  QuotaLeader leader = FullLeader(0.001, 0);
  Ask(leader, "p", 1, {.waiting = 10}, 0);
  leader.SetAccounts({}, At(100));
  const RefillReply reply = leader.Answer(
      {.host = HostId("q"), .sequence = 1, .accounts = {{kAccount}}}, At(200));
  cr_assert(reply.grants.empty());
  leader.SetAccounts(Accounts(0.001, 0), At(9000));
  cr_assert_eq(Ask(leader, "q", 2, {.waiting = 10}, 9000).granted, 0u);
  leader.SetAccounts({}, At(9100));
  leader.SetAccounts(Accounts(0.001, 0), At(18'200));
  cr_assert_eq(Ask(leader, "q", 3, {.waiting = 10}, 18'200).granted, 10u);
}

// Guards against rates below one request per second being rounded away.
Test(QuotaLeader, AFractionalRateIsGrantedInFull) {
  QuotaLeader leader = FullLeader(0.3, 0);
  uint64_t spent = Ask(leader, "p", 1, {.waiting = 100}, 0).granted;
  uint64_t granted = 0;
  // The bucket refills from the first report on that the capacity was spent.
  for (uint64_t call = 1; call <= 401; ++call) {
    const uint32_t more =
        Ask(leader, "p", call + 1, {.spent_total = spent, .waiting = 1},
            static_cast<int64_t>(call) * 250)
            .granted;
    spent += more;
    granted += more;
  }
  cr_assert_eq(granted, 30u);
}

// Guards against stock of one pool taking the last tokens, and against rejected
// callers who all come back at the same time.
Test(QuotaLeader, KeepsAQuarterForRequestsAndSpreadsRetries) {
  QuotaLeader leader = FullLeader(1, 0);
  uint32_t stock = 0;
  for (uint64_t call = 1; call <= 20; ++call) {
    stock += Ask(leader, "p", call, {.held = stock, .wanted = 100}, 0).granted;
  }
  cr_assert_eq(stock, 7u);
  const RefillGrant first = Ask(leader, "q", 1, {.waiting = 5}, 0);
  cr_assert_eq(first.granted, 3u);
  cr_assert_eq(first.stock_limit, 0u);
  cr_assert_eq(first.retry_after_ms, 1000u);
  const RefillGrant second = Ask(leader, "r", 1, {.waiting = 1}, 0);
  cr_assert_eq(second.retry_after_ms, 3000u);
  cr_assert_eq(second.retry_step_ms, 1000u);
}

}  // namespace
}  // namespace knapweedroad
