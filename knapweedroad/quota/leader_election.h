// Decides when a control host proposes itself as the quota leader.
//
//   LeaderElection election({.self = self});
//   election.OnAgreed(state.quota_leader, now);
//   election.OnCallEnded(asked, LeaderAnswer::kNone, began, now);
//   if (auto next = election.Propose(view, now)) {
//     ...                                   // replace election.leader()
//     election.OnProposalEnded(now);
//   }

#ifndef KNAPWEEDROAD_QUOTA_LEADER_ELECTION_H_
#define KNAPWEEDROAD_QUOTA_LEADER_ELECTION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/quota_leader_record.h"

namespace knapweedroad {

struct LeaderElectionOptions {
  HostId self;
  // A leader that has answered no call for this long is replaced.
  Duration unresponsive_after = std::chrono::milliseconds(700);
  // A leader that answers that it may not grant is replaced after this. Its
  // lease begins 1 s after it has learned of its term; the rest is for the
  // confirmation by a quorum on a busy machine.
  Duration begin_time = std::chrono::milliseconds(1600);
  // How much longer a host waits that no other control host has told that it
  // doesn't reach the leader either. Such a host may be cut off itself, and
  // learns that it has no quorum within this time.
  Duration alone_wait = std::chrono::milliseconds(2500);
  // How much longer a host waits for each live control host with a smaller id.
  Duration turn = std::chrono::milliseconds(250);
  // From the end of a proposal to the next one of this host.
  Duration proposal_pause = std::chrono::seconds(1);
  // Each replacement of a leader within this time doubles
  // `unresponsive_after`, at most three times. Where only the link between two
  // hosts is cut, they would otherwise replace each other without end.
  Duration damping_window = std::chrono::seconds(20);
};

// What became of a refill call to the leader.
enum class LeaderAnswer : uint8_t {
  kGrants,
  // It answered that it may not grant now.
  kNotLeader,
  // It didn't answer in time, neither this host nor another control host that
  // passed the call on.
  kUnreachable,
  // Neither it nor any other control host answered in time.
  kNone,
};

struct ElectionView {
  // Some account of the configuration has a limit.
  bool is_needed = false;
  // A quorum of the control replicas answers this host.
  bool has_quorum = false;
  // The control hosts that answer this one, itself among them, in any order.
  std::vector<HostId> live;
};

class LeaderElection {
 public:
  explicit LeaderElection(LeaderElectionOptions options);

  // Records the leader that the newest agreed state names.
  void OnAgreed(const QuotaLeaderRecord& leader, TimePoint now);

  // Records the end of a refill call to `asked` that began at `began`.
  void OnCallEnded(const QuotaLeaderRecord& asked,
                   LeaderAnswer answer,
                   TimePoint began,
                   TimePoint now);

  // Returns the record that should replace leader() if this host is to propose
  // it now; then nothing more until OnProposalEnded().
  std::optional<QuotaLeaderRecord> Propose(const ElectionView& view,
                                           TimePoint now);
  void OnProposalEnded(TimePoint now);

  // Empty until an agreed state is known.
  const std::optional<QuotaLeaderRecord>& leader() const {
    return this->known_leader;
  }

 private:
  void ForgetEvidence();
  // When this host may propose itself if it is the first in the order; nothing
  // while the leader is in order.
  std::optional<TimePoint> VacantAt(TimePoint now);
  int Damping(TimePoint now);

  LeaderElectionOptions options;
  std::optional<QuotaLeaderRecord> known_leader;
  // Of calls in a row without an answer: their number, and the begin of the
  // first one.
  int unanswered = 0;
  TimePoint unanswered_since;
  // Another control host didn't reach the leader in one of them.
  bool has_second_opinion = false;
  std::optional<TimePoint> not_leader_since;
  // No leader was chosen yet, and one is needed.
  std::optional<TimePoint> none_since;
  std::deque<TimePoint> replacements;
  bool is_proposing = false;
  TimePoint next_proposal;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_LEADER_ELECTION_H_
