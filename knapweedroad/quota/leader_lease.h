// Tells whether this control host may grant tokens as the quota leader now.
//
//   LeaderLease lease({.self = self});
//   lease.OnAgreed(state.quota_leader, now);
//   lease.OnConfirmed(state.quota_leader, confirmation.began);
//   if (lease.IsHeld(BootClock::now())) reply = leader.Answer(call, now);

#ifndef KNAPWEEDROAD_QUOTA_LEADER_LEASE_H_
#define KNAPWEEDROAD_QUOTA_LEADER_LEASE_H_

#include <cstdint>
#include <optional>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/quota_leader_record.h"

namespace knapweedroad {

struct LeaderLeaseOptions {
  HostId self;
  // How long a confirmation lets a leader grant.
  Duration length = std::chrono::seconds(1);
};

// The lease of a term is held for `length` after the begin of the newest
// confirmation by a quorum that the agreed state still names this host and
// term. A new term begins `length` plus the clock drift after this host learned
// of it, when all confirmations of the term before have ended; the first term
// has none before it and begins at once. No two hosts hold it at the same time,
// as the agreed state names one host at a time.
class LeaderLease {
 public:
  explicit LeaderLease(LeaderLeaseOptions options);

  // Records the leader that the newest agreed state names.
  void OnAgreed(const QuotaLeaderRecord& leader, BootTime now);
  // Records that the newest agreed state named `leader` when the confirmation
  // began.
  void OnConfirmed(const QuotaLeaderRecord& leader, BootTime began);

  bool IsHeld(BootTime now) const;
  // The newest term that names this host; zero if none does. The owner makes a
  // new QuotaLeader for each term.
  uint64_t term() const;

 private:
  LeaderLeaseOptions options;
  QuotaLeaderRecord newest;
  BootTime term_begins;
  std::optional<BootTime> confirmed_at;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_LEADER_LEASE_H_
