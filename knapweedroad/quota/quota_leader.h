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
#include <optional>
#include <span>
#include <unordered_map>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/account_bucket.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {

struct RefillCall;
struct RefillReply;

struct QuotaLeaderOptions {
  QuotaTolerance tolerance;
  // How long a pool may use tokens, counted by the pool from its call. The
  // leader counts from its reply and adds the clock drift.
  Duration token_lifetime = std::chrono::seconds(4);
};

// One term of one process. Guarantees for each account that the tokens spent in
// any time window are at most the rate times its length plus QuotaCapacity(),
// whatever is lost, delayed or repeated: the tokens that are available and
// those that pools may still spend are together never above the capacity, and
// grow only at the rate. Tokens of an earlier leader add at most kStartTokens
// to a window in which this leader starts, and at most StartAllowance() to a
// later window that begins while they may be unreported.
//
// Whoever owns the leader must make sure that no other leader grants at the
// same time; see LeaderLease.
class QuotaLeader {
 public:
  explicit QuotaLeader(QuotaLeaderOptions options);

  // Sets the accounts of the newest configuration; those without a limit are
  // ignored. The accounts of the first call start with kStartTokens, those that
  // a later call adds with their capacity, unless they were removed less than a
  // window and a token lifetime before. Without a configuration the first call
  // has no accounts.
  void SetAccounts(std::span<const ClientAccount> accounts, BootTime now);

  // Takes the report of a pool and grants it tokens: for waiting requests
  // first, then for its stock, for which a quarter of the capacity is kept
  // back. Leaves accounts without a limit out of the reply. Ignores a call that
  // isn't newer than the last one of the pool, and then grants nothing. The
  // reply's `term` is left to the caller. Call it only while the lease is held:
  // the buckets start to refill at the first call.
  RefillReply Answer(const RefillCall& call, BootTime now);

  // Tokens of an account that are available, and those that pools may still
  // spend. Zero for an unknown account.
  double AvailableTokens(const AccountId& account, BootTime now) const;
  double OutstandingTokens(const AccountId& account, BootTime now) const;
  // Includes the accounts that were removed lately.
  size_t account_count() const { return this->accounts.size(); }

 private:
  struct Account {
    AccountBucket bucket;
    // As of the first configuration.
    bool is_first = false;
    // Set while the account is in no configuration.
    std::optional<BootTime> removed_at;
    uint64_t configuration = 0;
  };
  struct LastCall {
    uint64_t sequence = 0;
    BootTime at;
  };

  AccountBucketOptions OptionsOf(const AccountQuota& quota) const;
  // Whether this call is the newest of its pool. Remembers it.
  bool IsNew(const RefillCall& call, BootTime now);
  void BeginTerm(BootTime now);

  QuotaLeaderOptions options;
  std::unordered_map<AccountId, Account> accounts;
  std::map<AccountBucket::PoolKey, LastCall> last_calls;
  // Counts the calls of SetAccounts().
  uint64_t configuration = 0;
  bool has_begun = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_LEADER_H_
