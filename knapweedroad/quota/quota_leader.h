// The token buckets of all client accounts, at the one control host that grants
// tokens to the pools of all control hosts.
//
//   QuotaLeader leader({.tolerance = tolerance});
//   leader.SetAccounts(config.accounts, now);
//   RefillReply reply = leader.Answer(call, now);

#ifndef KNAPWEEDROAD_QUOTA_QUOTA_LEADER_H_
#define KNAPWEEDROAD_QUOTA_QUOTA_LEADER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {

struct PoolAccount;
struct RefillCall;
struct RefillGrant;
struct RefillReply;

struct QuotaLeaderOptions {
  QuotaTolerance tolerance;
  // How long a pool may use tokens, counted by the pool from its call. The
  // leader counts from its reply and adds the clock drift.
  Duration token_lifetime = std::chrono::seconds(4);
  uint64_t seed = 1;
};

// One term of one process. Guarantees for each account that the tokens spent in
// any time window are at most the rate times its length plus QuotaCapacity(),
// whatever is lost, delayed or repeated: the tokens that are available and
// those that pools may still spend are together never above the capacity, and
// grow only at the rate. Whoever owns the leader must make sure that no other
// leader grants at the same time; see LeaderLease.
class QuotaLeader {
 public:
  explicit QuotaLeader(QuotaLeaderOptions options);

  // Sets the accounts of the newest configuration; those without a limit are
  // ignored. The accounts of the first call start with kStartTokens, those that
  // a later call adds with their capacity, unless they were removed less than a
  // window before.
  void SetAccounts(std::span<const ClientAccount> accounts, BootTime now);

  // Takes the report of a pool and grants it tokens: for waiting requests
  // first, then for its stock, for which a quarter of the capacity is kept
  // back. Ignores a call that is older than the last one of the pool, and
  // then grants nothing. The reply's `term` is left to the caller.
  RefillReply Answer(const RefillCall& call, BootTime now);

  // Tokens of an account that are available, and those that pools may still
  // spend. Zero for an unknown account.
  double AvailableTokens(const AccountId& account, BootTime now) const;
  double OutstandingTokens(const AccountId& account, BootTime now) const;
  size_t account_count() const { return this->buckets.size(); }

 private:
  struct PoolShare {
    uint64_t tokens = 0;
    uint64_t spent_total = 0;
    BootTime expires;
  };
  struct Bucket {
    AccountQuota quota;
    double capacity = 0;
    double tokens = 0;
    BootTime refilled_at;
    // By pool and incarnation.
    std::map<std::pair<HostId, uint64_t>, PoolShare> shares;
    // Set while the account is in no configuration.
    bool is_removed = false;
    BootTime removed_at;
  };

  QuotaLeaderOptions options;
  std::unordered_map<AccountId, Bucket> buckets;
  std::map<std::pair<HostId, uint64_t>, uint64_t> last_sequence;
  bool has_accounts = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_LEADER_H_
