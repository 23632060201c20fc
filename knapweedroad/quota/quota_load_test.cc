#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/quota/quota_simulation.h"

namespace knapweedroad {
namespace {

using std::chrono::seconds;

const AccountId kAccount("a");

std::vector<ClientAccount> Accounts(double rate, double burst) {
  return {{.name = kAccount, .quota = {.rate = rate, .burst = burst}}};
}

// Past the start, with full buckets.
void Warm(QuotaSimulation& simulation) {
  simulation.StartLeader();
  simulation.Run(seconds(15));
}

// `count` requests, evenly spaced; `pool_of` tells whom the n-th one asks.
template <typename PoolOf>
void Load(QuotaSimulation& simulation,
          int count,
          double per_second,
          const PoolOf& pool_of) {
  for (int i = 0; i < count; ++i) {
    simulation.Request(kAccount, pool_of(i));
    simulation.Run(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / per_second)));
  }
}

// Pattern: one request a second, each at another of 77 entry hosts, which
// follow 6 control hosts. Guards against stock in one pool that another needs.
Test(QuotaLoad, OneRequestASecondOver77EntryHostsIsNotRejected) {
  QuotaSimulation simulation({.accounts = Accounts(1, 0)});
  Warm(simulation);
  std::mt19937 random(5);
  std::uniform_int_distribution<size_t> entry_host(0, 76);
  Load(simulation, 300, 1, [&](int) { return entry_host(random) % 6; });
  cr_assert_eq(simulation.spent(kAccount).size(), 300u);
  // Calls and replies of 6 pools, four times a second for 316 s, and those of
  // a part of the requests, which wait.
  cr_assert_lt(simulation.messages(), 2 * (6 * 4 * 316UL + 150));
}

// Pattern: all callers of an account reach one pool. Guards against an account
// that gets only the share of one pool.
Test(QuotaLoad, AnAccountAtOnePoolGetsItsWholeRate) {
  QuotaSimulation simulation({.accounts = Accounts(40, 0)});
  Warm(simulation);
  Load(simulation, 40 * 60, 40, [](int) { return 0; });
  cr_assert_eq(simulation.spent(kAccount).size(), 40UL * 60);
}

// Pattern: 81 accounts at their whole rate, over all pools, as the page states
// the load. Guards against accounts that take each other's tokens.
Test(QuotaLoad, EightyOneAccountsAtTheirRateAreNotRejected) {
  std::vector<ClientAccount> accounts;
  for (int i = 0; i < 81; ++i) {
    accounts.push_back(
        {.name = AccountId(std::to_string(i)), .quota = {.rate = 1.5}});
  }
  QuotaSimulation simulation({.accounts = accounts});
  Warm(simulation);
  std::mt19937 random(7);
  std::uniform_int_distribution<size_t> pool(0, 5);
  for (int i = 0; i < 120 * 30; ++i) {
    simulation.Request(accounts[i % 81].name, pool(random));
    simulation.Run(std::chrono::microseconds(8333));
  }
  simulation.Run(seconds(1));
  cr_assert_eq(simulation.rejected() + simulation.unknown(), 0u);
}

// Pattern: five times the quota for a minute, over all pools. Guards against
// tokens that are stranded as stock, and against a limit that is exceeded.
Test(QuotaLoad, FiveTimesTheQuotaGetsTheQuotaAndNoMore) {
  for (const double rate : {2.0, 20.0, 80.0}) {
    QuotaSimulation simulation({.accounts = Accounts(rate, 0)});
    Warm(simulation);
    std::mt19937 random(3);
    std::uniform_int_distribution<size_t> pool(0, 5);
    Load(simulation, static_cast<int>(rate * 5 * 60), rate * 5,
         [&](int) { return pool(random); });
    const double spent = static_cast<double>(simulation.spent(kAccount).size());
    cr_assert_geq(spent, 0.95 * rate * 60);
    cr_assert_leq(spent, rate * 60 + 10);
  }
}

// Pattern: 0.6 of the quota while the leader is lost for 2 s and another one
// starts. Guards against a pool that depends on the leader for each request,
// and a start that stops the account.
Test(QuotaLoad, LosingTheLeaderForTwoSecondsCostsFewRequests) {
  for (const AccountQuota quota :
       {AccountQuota{.rate = 1.5}, AccountQuota{.rate = 3},
        AccountQuota{.rate = 10, .burst = 20}}) {
    const double per_second = quota.rate * 0.6;
    QuotaSimulation simulation({.accounts = Accounts(quota.rate, quota.burst)});
    Warm(simulation);
    std::mt19937 random(9);
    std::uniform_int_distribution<size_t> pool(0, 5);
    const auto load = [&](int time) {
      Load(simulation, static_cast<int>(per_second * time), per_second,
           [&](int) { return pool(random); });
    };
    load(10);
    simulation.StopLeader();
    load(2);
    simulation.StartLeader();
    load(10);
    cr_assert_leq(simulation.rejected() + simulation.unknown(), 4u);
  }
}

}  // namespace
}  // namespace knapweedroad
