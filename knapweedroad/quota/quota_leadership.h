// What a control host does as the quota leader: it holds the lease and the
// token buckets of its present term.
//
//   QuotaLeadership leadership({.self = self, .tolerance = tolerance});
//   leadership.SetAccounts(config.accounts, now);
//   leadership.OnAgreed(version, state.quota_leader, now);
//   leadership.OnConfirmed(version, began);
//   RefillReply reply = leadership.Answer(call, now);

#ifndef KNAPWEEDROAD_QUOTA_QUOTA_LEADERSHIP_H_
#define KNAPWEEDROAD_QUOTA_QUOTA_LEADERSHIP_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/leader_lease.h"
#include "knapweedroad/quota/quota_leader.h"
#include "knapweedroad/quota/quota_leader_record.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {

struct RefillCall;
struct RefillReply;

struct QuotaLeadershipOptions {
  HostId self;
  QuotaTolerance tolerance;
};

class QuotaLeadership {
 public:
  explicit QuotaLeadership(QuotaLeadershipOptions options);

  // Sets the accounts of the newest configuration. Keeps those with a limit.
  void SetAccounts(std::span<const ClientAccount> accounts, BootTime now);

  // Records the leader that the agreed state of this version names. Older
  // versions are ignored.
  void OnAgreed(uint64_t version,
                const QuotaLeaderRecord& leader,
                BootTime now);

  // Records that no version above this one had been agreed at `began`. Ignored
  // if this host doesn't know that version yet.
  void OnConfirmed(uint64_t version, BootTime began);

  // Whether this host may grant now.
  bool IsLeaseHeld(BootTime now) const { return this->lease.IsHeld(now); }

  // Answers a call to the leader; without grants while the lease isn't held.
  RefillReply Answer(const RefillCall& call, BootTime now);

  // Whether the agreed state names this host and some account has a limit.
  bool NeedsConfirmations() const;

  // The accounts with a limit.
  const std::vector<ClientAccount>& accounts() const { return this->limited; }
  // The leader that the newest agreed state names; empty if none is known.
  const QuotaLeaderRecord& named() const { return this->newest; }
  // The time since the begin of the newest confirmation that counts for the
  // term; empty if there is none.
  std::optional<Duration> ConfirmationAge(BootTime now) const;
  // Tokens of all accounts that pools may still spend; zero while the lease
  // isn't held.
  double OutstandingTokens(BootTime now) const;

 private:
  QuotaLeadershipOptions options;
  LeaderLease lease;
  uint64_t version = 0;
  QuotaLeaderRecord newest;
  std::vector<ClientAccount> limited;
  std::optional<BootTime> confirmed_at;
  // Made at the first call of a term while the lease is held.
  std::optional<QuotaLeader> leader;
  uint64_t leader_term = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_LEADERSHIP_H_
