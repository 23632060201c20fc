#include "knapweedroad/quota/quota_leader.h"

#include <algorithm>

#include "knapweedroad/quota/quota_messages.h"

namespace knapweedroad {
namespace {

// Calls of a pool that hasn't called for this time are no longer told from
// repeated ones. A repeated call that is taken as new makes tokens outstanding
// until they expire, and no pool spends them.
constexpr Duration kForgetPool = std::chrono::minutes(1);

// Twice the drift, so that a token expires strictly later here than at a pool.
Duration WithDrift(Duration lifetime) {
  return std::chrono::duration_cast<Duration>(lifetime *
                                              (1 + 2 * kMaxClockDrift));
}

}  // namespace

QuotaLeader::QuotaLeader(QuotaLeaderOptions options) : options(options) {}

AccountBucketOptions QuotaLeader::OptionsOf(const AccountQuota& quota) const {
  const QuotaTolerance& tolerance = this->options.tolerance;
  // Below one token, no request of the account could ever run.
  const double capacity = std::max(1.0, QuotaCapacity(quota, tolerance));
  return {.quota = quota,
          .capacity = capacity,
          .start_allowance = std::max(1.0, StartAllowance(quota, tolerance)),
          .token_lifetime = WithDrift(this->options.token_lifetime),
          .retry_horizon = tolerance.window};
}

void QuotaLeader::SetAccounts(std::span<const ClientAccount> accounts,
                              BootTime now) {
  ++this->configuration;
  const bool is_first = this->configuration == 1;
  // Its tokens may be spent for a token lifetime after the removal, and count
  // for a window after that.
  const Duration kept =
      this->options.tolerance.window + WithDrift(this->options.token_lifetime);
  std::erase_if(this->accounts, [kept, now](const auto& entry) {
    const std::optional<BootTime>& removed_at = entry.second.removed_at;
    return removed_at && now - *removed_at >= kept;
  });
  for (const ClientAccount& account : accounts) {
    if (!account.quota.is_limited()) {
      continue;
    }
    const AccountBucketOptions bucket_options = this->OptionsOf(account.quota);
    const auto [found, is_added] = this->accounts.try_emplace(
        account.name, Account{.bucket = AccountBucket(bucket_options, now),
                              .is_first = is_first});
    Account& known = found->second;
    if (!is_added) {
      known.bucket.SetOptions(bucket_options, now);
    } else if (is_first) {
      known.bucket.BeginTerm(now);
    }
    known.removed_at.reset();
    known.configuration = this->configuration;
  }
  for (auto& [name, account] : this->accounts) {
    if (account.configuration != this->configuration && !account.removed_at) {
      account.removed_at = now;
    }
  }
}

bool QuotaLeader::IsNew(const RefillCall& call, BootTime now) {
  const AccountBucket::PoolKey pool(call.host, call.incarnation);
  const auto known = this->last_calls.find(pool);
  if (known != this->last_calls.end()) {
    if (call.sequence <= known->second.sequence) {
      return false;
    }
    known->second = {.sequence = call.sequence, .at = now};
    return true;
  }
  std::erase_if(this->last_calls, [now](const auto& entry) {
    return now - entry.second.at > kForgetPool;
  });
  this->last_calls[pool] = {.sequence = call.sequence, .at = now};
  return true;
}

void QuotaLeader::BeginTerm(BootTime now) {
  this->has_begun = true;
  for (auto& [name, account] : this->accounts) {
    if (account.is_first) {
      account.bucket.BeginTerm(now);
    }
  }
}

RefillReply QuotaLeader::Answer(const RefillCall& call, BootTime now) {
  if (!this->has_begun) {
    this->BeginTerm(now);
  }
  RefillReply reply{.is_leader = true};
  if (!this->IsNew(call, now)) {
    return reply;
  }
  const AccountBucket::PoolKey pool(call.host, call.incarnation);
  reply.grants.reserve(call.accounts.size());
  for (const PoolAccount& report : call.accounts) {
    const auto found = this->accounts.find(report.account);
    if (found != this->accounts.end() && !found->second.removed_at) {
      reply.grants.push_back(found->second.bucket.Answer(pool, report, now));
    }
  }
  return reply;
}

double QuotaLeader::AvailableTokens(const AccountId& account,
                                    BootTime now) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end()
             ? 0
             : found->second.bucket.AvailableTokens(now);
}

double QuotaLeader::OutstandingTokens(const AccountId& account,
                                      BootTime now) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end()
             ? 0
             : found->second.bucket.OutstandingTokens(now);
}

}  // namespace knapweedroad
