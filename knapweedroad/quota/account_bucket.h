// The tokens of one client account at the quota leader: those available, and
// those that pools may still spend.

#ifndef KNAPWEEDROAD_QUOTA_ACCOUNT_BUCKET_H_
#define KNAPWEEDROAD_QUOTA_ACCOUNT_BUCKET_H_

#include <cstdint>
#include <map>
#include <utility>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/token_batches.h"

namespace knapweedroad {

struct PoolAccount;
struct RefillGrant;

struct AccountBucketOptions {
  AccountQuota quota;
  // Tokens that are available and outstanding together.
  double capacity = 0;
  // Tokens beyond those that pools report of an earlier leader, as long as
  // tokens of that leader may be unreported.
  double start_allowance = 0;
  // By the leader's clock, counted from its reply.
  Duration token_lifetime{};
  // Retry times lie within this span.
  Duration retry_horizon{};
};

// Available and outstanding tokens together are at most the capacity, and grow
// only at the rate. Tokens of an earlier leader that a pool reports count as
// outstanding; they may exceed the capacity until they expire.
class AccountBucket {
 public:
  // A pool's host and incarnation.
  using PoolKey = std::pair<HostId, uint64_t>;

  // Starts full.
  AccountBucket(const AccountBucketOptions& options, BootTime now);

  // Starts again with few tokens, as an earlier leader may have granted the
  // whole capacity: those tokens expire within a token lifetime.
  void BeginTerm(BootTime now);
  void SetOptions(const AccountBucketOptions& options, BootTime now);

  // Takes a pool's report, renews what the pool holds, grants it tokens and
  // says when to try again.
  RefillGrant Answer(const PoolKey& pool,
                     const PoolAccount& report,
                     BootTime now);

  double AvailableTokens(BootTime now) const;
  double OutstandingTokens(BootTime now) const;

 private:
  struct PoolShare {
    // What the pool holds, or has spent and not reported.
    TokenBatches tokens;
    // As of the last report.
    uint64_t spent_total = 0;
    uint64_t wanted = 0;
    BootTime reported_at;
  };

  void AdvanceTo(BootTime now);
  void RefillTo(BootTime time);
  double Room() const;
  void TakeReport(PoolShare& share, const PoolAccount& report, BootTime now);
  // Moves up to `count` tokens into the share, while more than `kept` remain.
  uint32_t Grant(PoolShare& share, uint64_t count, double kept, BootTime now);
  // Of what the pool wants, the part that leaves the other pools theirs.
  uint64_t StockLimit(const PoolShare& share, BootTime now) const;
  Duration UntilNextToken() const;
  void Reject(uint32_t count, RefillGrant& grant, BootTime now);

  AccountBucketOptions options;
  double available = 0;
  uint64_t outstanding = 0;
  BootTime refilled_at;
  std::map<PoolKey, PoolShare> shares;
  // Until then tokens of an earlier leader may be unreported.
  BootTime uncertain_until;
  // Tokens of an earlier leader that pools have reported.
  uint64_t reported_earlier = 0;
  // Until then no stock is granted, as requests were rejected.
  BootTime scarce_until;
  // The retry time of the next rejected request.
  BootTime next_retry;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_ACCOUNT_BUCKET_H_
