#include "knapweedroad/quota/quota_leadership.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "knapweedroad/quota/quota_messages.h"

namespace knapweedroad {

QuotaLeadership::QuotaLeadership(QuotaLeadershipOptions given)
    : options(std::move(given)), lease({.self = this->options.self}) {}

void QuotaLeadership::SetAccounts(std::span<const ClientAccount> accounts,
                                  BootTime now) {
  this->limited.clear();
  std::ranges::copy_if(
      accounts, std::back_inserter(this->limited),
      [](const ClientAccount& account) { return account.quota.is_limited(); });
  for (ClientAccount& account : this->limited) {
    // Secrets that quotas don't need.
    account.keys.clear();
  }
  if (this->leader) {
    this->leader->SetAccounts(this->limited, now);
  }
}

void QuotaLeadership::OnAgreed(uint64_t agreed_version,
                               const QuotaLeaderRecord& named,
                               BootTime now) {
  if (agreed_version <= this->version) {
    return;
  }
  this->version = agreed_version;
  if (named == this->newest) {
    return;
  }
  this->newest = named;
  this->confirmed_at.reset();
  this->lease.OnAgreed(named, now);
}

// A leader of which this host doesn't know was agreed after `began`, and waits
// for the length of the lease before it grants. So the confirmation also counts
// if this host knows a newer version by now.
void QuotaLeadership::OnConfirmed(uint64_t confirmed_version, BootTime began) {
  if (confirmed_version > this->version) {
    return;
  }
  this->lease.OnConfirmed(this->newest, began);
  if (this->newest.host == this->options.self) {
    this->confirmed_at = std::max(this->confirmed_at.value_or(began), began);
  }
}

RefillReply QuotaLeadership::Answer(const RefillCall& call, BootTime now) {
  if (!this->lease.IsHeld(now)) {
    return {.term = this->lease.term()};
  }
  if (!this->leader || this->leader_term != this->lease.term()) {
    this->leader.emplace(
        QuotaLeaderOptions{.tolerance = this->options.tolerance});
    this->leader->SetAccounts(this->limited, now);
    this->leader_term = this->lease.term();
  }
  RefillReply reply = this->leader->Answer(call, now);
  reply.term = this->leader_term;
  return reply;
}

bool QuotaLeadership::NeedsConfirmations() const {
  return !this->limited.empty() && this->newest.host == this->options.self;
}

std::optional<Duration> QuotaLeadership::ConfirmationAge(BootTime now) const {
  return this->confirmed_at ? std::optional<Duration>(now - *this->confirmed_at)
                            : std::nullopt;
}

double QuotaLeadership::OutstandingTokens(BootTime now) const {
  double tokens = 0;
  if (this->leader && this->lease.IsHeld(now)) {
    for (const ClientAccount& account : this->limited) {
      tokens += this->leader->OutstandingTokens(account.name, now);
    }
  }
  return tokens;
}

}  // namespace knapweedroad
