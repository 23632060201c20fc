#include "knapweedroad/quota/leader_election.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

// One call without an answer may be due to a standstill of this process.
constexpr int kUnansweredCalls = 2;
constexpr size_t kMaxDoublings = 3;

}  // namespace

LeaderElection::LeaderElection(LeaderElectionOptions options)
    : options(std::move(options)) {}

void LeaderElection::ForgetEvidence() {
  this->unanswered = 0;
  this->has_second_opinion = false;
  this->not_leader_since.reset();
  this->none_since.reset();
}

void LeaderElection::OnAgreed(const QuotaLeaderRecord& leader, TimePoint now) {
  if (this->known_leader == leader) {
    return;
  }
  if (this->known_leader && !this->known_leader->host.empty()) {
    this->replacements.push_back(now);
  }
  this->known_leader = leader;
  this->ForgetEvidence();
}

void LeaderElection::OnCallEnded(const QuotaLeaderRecord& asked,
                                 LeaderAnswer answer,
                                 TimePoint began,
                                 TimePoint now) {
  if (asked != this->known_leader || asked.host.empty()) {
    return;
  }
  if (answer == LeaderAnswer::kNone || answer == LeaderAnswer::kUnreachable) {
    if (this->unanswered++ == 0) {
      this->unanswered_since = began;
    }
    this->has_second_opinion |= answer == LeaderAnswer::kUnreachable;
    return;
  }
  this->unanswered = 0;
  this->has_second_opinion = false;
  if (answer == LeaderAnswer::kGrants) {
    this->not_leader_since.reset();
  } else if (!this->not_leader_since) {
    this->not_leader_since = now;
  }
}

int LeaderElection::Damping(TimePoint now) {
  while (!this->replacements.empty() &&
         now - this->replacements.front() >= this->options.damping_window) {
    this->replacements.pop_front();
  }
  return 1 << std::min(this->replacements.size(), kMaxDoublings);
}

std::optional<TimePoint> LeaderElection::VacantAt(TimePoint now) {
  if (this->known_leader->host.empty()) {
    if (!this->none_since) {
      this->none_since = now;
    }
    return this->none_since;
  }
  std::optional<TimePoint> vacant;
  if (this->unanswered >= kUnansweredCalls) {
    vacant = this->unanswered_since +
             this->options.unresponsive_after * this->Damping(now) +
             (this->has_second_opinion ? Duration::zero()
                                       : this->options.alone_wait);
  }
  if (this->not_leader_since) {
    const TimePoint begun = *this->not_leader_since + this->options.begin_time;
    vacant = std::min(vacant.value_or(begun), begun);
  }
  return vacant;
}

std::optional<QuotaLeaderRecord> LeaderElection::Propose(
    const ElectionView& view,
    TimePoint now) {
  if (!view.has_quorum || !view.is_needed) {
    // What was seen without a quorum may be the fault of this host's links.
    this->ForgetEvidence();
    return std::nullopt;
  }
  if (!this->known_leader || this->known_leader->host == this->options.self ||
      this->is_proposing || now < this->next_proposal) {
    return std::nullopt;
  }
  const std::optional<TimePoint> vacant = this->VacantAt(now);
  if (!vacant) {
    return std::nullopt;
  }
  const auto before = std::ranges::count_if(view.live, [&](const HostId& host) {
    return host < this->options.self && host != this->known_leader->host;
  });
  if (now < *vacant + this->options.turn * before) {
    return std::nullopt;
  }
  this->is_proposing = true;
  return QuotaLeaderRecord{.host = this->options.self,
                           .term = this->known_leader->term + 1};
}

void LeaderElection::OnProposalEnded(TimePoint now) {
  this->is_proposing = false;
  this->next_proposal = now + this->options.proposal_pause;
}

}  // namespace knapweedroad
