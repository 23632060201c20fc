#include "knapweedroad/quota/leader_election.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const HostId kA("control-a");
const HostId kB("control-b");
const HostId kC("control-c");

// Control hosts that call the agreed leader every 250 ms and agree on proposals
// after 50 ms, in virtual time.
struct Fleet {
  struct Host {
    explicit Host(const HostId& id) : election({.self = id}) {}

    LeaderElection election;
    TimePoint next_call;
    // A proposal that is under way: what it replaces, and its end.
    std::optional<QuotaLeaderRecord> proposed;
    std::optional<QuotaLeaderRecord> seen;
    TimePoint proposal_ends;
  };

  explicit Fleet(const std::vector<HostId>& ids) {
    for (const HostId& id : ids) {
      this->hosts.emplace(id, Host(id));
      this->hosts.at(id).election.OnAgreed({}, this->now);
      this->live.push_back(id);
    }
  }

  void Agree(const QuotaLeaderRecord& next) {
    this->agreed = next;
    this->agreed_at.push_back(this->now);
    for (auto& [id, host] : this->hosts) {
      host.election.OnAgreed(next, this->now);
    }
  }

  void Step(const HostId& id, Host& host) {
    if (!this->agreed.host.empty() && this->now >= host.next_call) {
      const LeaderAnswer answer = this->answers
                                      ? this->answers(id, this->agreed)
                                      : LeaderAnswer::kGrants;
      const bool is_late =
          answer == LeaderAnswer::kUnreachable || answer == LeaderAnswer::kNone;
      const Duration took = is_late ? 300ms : 1ms;
      host.election.OnCallEnded(this->agreed, answer, this->now - took,
                                this->now);
      host.next_call = this->now + std::max<Duration>(250ms, took);
    }
    if (!host.proposed) {
      host.proposed = host.election.Propose({.is_needed = this->is_needed,
                                             .has_quorum = this->has_quorum,
                                             .live = this->live},
                                            this->now);
      if (host.proposed) {
        ++this->proposals;
        host.seen = host.election.leader();
        host.proposal_ends = this->now + this->agree_time;
      }
    } else if (this->now >= host.proposal_ends) {
      if (this->is_agreeing && host.seen == this->agreed) {
        this->Agree(*host.proposed);
      }
      host.proposed.reset();
      host.election.OnProposalEnded(this->now);
    }
  }

  void Run(Duration duration) {
    const TimePoint end = this->now + duration;
    for (; this->now < end; this->now += 10ms) {
      for (auto& [id, host] : this->hosts) {
        if (!this->killed.contains(id)) {
          this->Step(id, host);
        }
      }
    }
  }

  TimePoint now{1h};
  std::map<HostId, Host> hosts;
  std::map<HostId, bool> killed;
  std::vector<HostId> live;
  bool is_needed = true;
  bool has_quorum = true;
  bool is_agreeing = true;
  Duration agree_time = 50ms;
  // How the leader answers a host; unset: it grants.
  std::function<LeaderAnswer(const HostId& from, const QuotaLeaderRecord&)>
      answers;
  QuotaLeaderRecord agreed;
  std::vector<TimePoint> agreed_at;
  int proposals = 0;
};

// Guards against a duel: all hosts find at the same time that there is no
// leader.
Test(leader_election, the_live_host_with_the_smallest_id_becomes_the_first) {
  Fleet fleet({kA, kB, kC});
  fleet.Run(10s);
  cr_expect(fleet.agreed == QuotaLeaderRecord({.host = kA, .term = 1}));
  cr_expect(fleet.proposals == 1);
}

// Guards against elections in deployments that don't use quotas.
Test(leader_election, nobody_is_chosen_while_no_account_has_a_limit) {
  Fleet fleet({kA, kB, kC});
  fleet.is_needed = false;
  fleet.Run(10s);
  cr_expect(fleet.proposals == 0);
}

// Guards against a host that has just started and doesn't know the agreed state
// yet.
Test(leader_election, a_host_that_knows_no_agreed_state_proposes_nothing) {
  LeaderElection election({.self = kA});
  const ElectionView view{.is_needed = true, .has_quorum = true, .live = {kA}};
  cr_expect(!election.Propose(view, TimePoint(1h)));
  cr_expect(!election.Propose(view, TimePoint(2h)));
}

// Guards against a vacancy without end: the leader is killed, also while it is
// still counted as live.
Test(leader_election, a_leader_that_does_not_answer_is_replaced_by_one_host) {
  Fleet fleet({kA, kB, kC});
  fleet.Run(5s);
  fleet.killed[kA] = true;
  fleet.answers = [](const HostId&, const QuotaLeaderRecord& leader) {
    return leader.host == kA ? LeaderAnswer::kUnreachable
                             : LeaderAnswer::kGrants;
  };
  const TimePoint killed_at = fleet.now;
  fleet.Run(1500ms);
  cr_expect(fleet.agreed == QuotaLeaderRecord({.host = kB, .term = 2}));
  cr_expect(fleet.agreed_at.back() - killed_at >= 400ms);
  fleet.Run(20s);
  cr_expect(fleet.proposals == 2);
}

// Guards against flapping: a new leader says that it is none until its lease
// begins.
Test(leader_election, a_leader_whose_lease_begins_is_not_replaced) {
  Fleet fleet({kA, kB, kC});
  fleet.answers = [&](const HostId&, const QuotaLeaderRecord&) {
    return fleet.now - fleet.agreed_at.back() < 1400ms
               ? LeaderAnswer::kNotLeader
               : LeaderAnswer::kGrants;
  };
  fleet.Run(30s);
  cr_expect(fleet.agreed == QuotaLeaderRecord({.host = kA, .term = 1}));
}

// Guards against a leader that is cut off from the quorum, answers its pools,
// and never grants again.
Test(leader_election, a_leader_that_never_grants_is_replaced) {
  Fleet fleet({kA, kB, kC});
  fleet.Run(5s);
  fleet.answers = [](const HostId&, const QuotaLeaderRecord& leader) {
    return leader.host == kA ? LeaderAnswer::kNotLeader : LeaderAnswer::kGrants;
  };
  fleet.Run(3s);
  cr_expect(fleet.agreed == QuotaLeaderRecord({.host = kB, .term = 2}));
}

// Guards against a host that was stopped for a while and takes its own
// standstill for that of the leader.
Test(leader_election, one_call_without_an_answer_replaces_nobody) {
  LeaderElection election({.self = kB});
  const QuotaLeaderRecord leader{.host = kA, .term = 1};
  const ElectionView view{
      .is_needed = true, .has_quorum = true, .live = {kA, kB}};
  TimePoint now{1h};
  election.OnAgreed(leader, now);
  election.OnCallEnded(leader, LeaderAnswer::kNone, now, now + 10s);
  now += 10s;
  cr_expect(!election.Propose(view, now));
  election.OnCallEnded(leader, LeaderAnswer::kGrants, now, now);
  cr_expect(!election.Propose(view, now + 10s));
}

// Guards against a host that is cut off from all others, still counts on the
// quorum that it had, and replaces a healthy leader when its link is back.
Test(leader_election, a_host_that_hears_nobody_waits_for_its_quorum_to_lapse) {
  Fleet fleet({kA, kB});
  fleet.Run(5s);
  fleet.answers = [](const HostId& from, const QuotaLeaderRecord&) {
    return from == kB ? LeaderAnswer::kNone : LeaderAnswer::kGrants;
  };
  fleet.Run(2500ms);
  cr_expect(fleet.proposals == 1);
  fleet.Run(2s);
  cr_expect(fleet.proposals == 2);
}

// Guards against proposals that can't be agreed on, and against evidence from
// before a partition that replaces a healthy leader after it.
Test(leader_election, without_a_quorum_nothing_is_proposed_or_remembered) {
  Fleet fleet({kA, kB, kC});
  fleet.Run(5s);
  fleet.has_quorum = false;
  fleet.answers = [](const HostId&, const QuotaLeaderRecord&) {
    return LeaderAnswer::kUnreachable;
  };
  fleet.Run(30s);
  cr_expect(fleet.proposals == 1);
  fleet.has_quorum = true;
  fleet.answers = nullptr;
  fleet.Run(30s);
  cr_expect(fleet.proposals == 1);
}

// Guards against a flood of proposals while a quorum seems to answer and no
// change is agreed on.
Test(leader_election, a_proposal_that_fails_is_repeated_after_a_pause) {
  Fleet fleet({kA, kB, kC});
  fleet.is_agreeing = false;
  fleet.agree_time = 1s;
  fleet.Run(10s);
  cr_expect(fleet.proposals >= 3);
  cr_expect(fleet.proposals <= 15);
}

// Guards against two hosts that replace each other again and again because only
// the link between them is cut.
Test(leader_election, a_cut_link_between_two_hosts_causes_few_replacements) {
  Fleet fleet({kA, kB, kC});
  fleet.answers = [](const HostId& from, const QuotaLeaderRecord& leader) {
    const bool is_cut =
        (from == kA && leader.host == kB) || (from == kB && leader.host == kA);
    return is_cut ? LeaderAnswer::kUnreachable : LeaderAnswer::kGrants;
  };
  fleet.Run(60s);
  cr_expect(fleet.agreed_at.size() <= 14, "%zu", fleet.agreed_at.size());
}

}  // namespace
}  // namespace knapweedroad
