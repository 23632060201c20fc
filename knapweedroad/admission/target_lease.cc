#include "knapweedroad/admission/target_lease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace knapweedroad {
namespace {

// Returns the latest time that at least `needed` of `times` reach; TimePoint{}
// if there are fewer, or if `needed` is zero.
TimePoint NthLatest(std::vector<TimePoint> times, std::size_t needed) {
  if (needed == 0 || times.size() < needed) {
    return TimePoint{};
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

}  // namespace

void TargetLease::OnGrant(const HostId& grantor,
                          const LeaseGrant& grant,
                          TimePoint sent_at,
                          TimePoint now,
                          const LeaseTiming& timing) {
  if (!grant.granted) {
    return;
  }
  const GrantPeriod period{
      .valid_until = sent_at + timing.HolderLeaseLength(),
      .usable_from = now + timing.LocalUpperBound(grant.start_delay)};
  if (grant.part == LeasePart::kVote) {
    this->votes[grantor] = period;
    return;
  }
  for (std::size_t rank = 0; rank < kMaxOwners; ++rank) {
    if (this->options.owners[rank] == grantor) {
      this->parts[rank] = period;
    }
  }
  if (grantor == this->options.self) {
    this->own_part_wanted = grant.wanted;
  }
}

void TargetLease::Clear() {
  this->votes.clear();
  this->parts = {};
  this->own_part_wanted = false;
}

TimePoint TargetLease::MajorityUntil() const {
  std::vector<TimePoint> expiries;
  for (const auto& [host, vote] : this->votes) {
    expiries.push_back(vote.valid_until);
  }
  return NthLatest(std::move(expiries), this->options.votes_needed);
}

uint32_t TargetLease::SlotsOfOwner(std::size_t rank) const {
  const uint32_t slots = this->options.slots;
  if (this->options.owners[1].empty()) {
    return rank == 0 ? slots : 0;
  }
  return rank == 0 ? slots - slots / 2 : slots / 2;
}

std::size_t TargetLease::OwnRank() const {
  const auto& owners = this->options.owners;
  const auto found =
      std::find(owners.begin(), owners.end(), this->options.self);
  return static_cast<std::size_t>(found - owners.begin());
}

TargetShare TargetLease::Share(TimePoint now,
                               const StoppedFrom& stopped_from) const {
  switch (this->phase) {
    case LeasePhase::kHeld:
      return this->MajorityShare(now, stopped_from);
    case LeasePhase::kIsolated:
      return this->IsolatedShare(now);
    default:
      return {};
  }
}

// A majority of votes decides which host is the holder. Each part of the slots
// is lent by its owner, or taken over if the owner is known not to be running.
// The part of an owner that is merely unreachable isn't used, since the owner
// may be isolated and use it itself.
TargetShare TargetLease::MajorityShare(TimePoint now,
                                       const StoppedFrom& stopped_from) const {
  // Only votes whose waiting time for work of an earlier holder is over count.
  // A majority of such votes shares a member with the majority of any earlier
  // holder.
  std::vector<TimePoint> expiries;
  for (const auto& [host, vote] : this->votes) {
    if (vote.usable_from <= now) {
      expiries.push_back(vote.valid_until);
    }
  }
  const TimePoint majority_until =
      NthLatest(std::move(expiries), this->options.votes_needed);
  if (majority_until <= now) {
    return {};
  }
  TargetShare share{.slots = 0, .valid_until = majority_until};
  for (std::size_t rank = 0; rank < kMaxOwners; ++rank) {
    const HostId& owner = this->options.owners[rank];
    const GrantPeriod& part = this->parts[rank];
    if (owner.empty()) {
      continue;
    }
    if (part.valid_until > now && part.usable_from <= now) {
      share.slots += this->SlotsOfOwner(rank);
      share.valid_until = std::min(share.valid_until, part.valid_until);
    } else if (stopped_from(owner) <= now) {
      share.slots += this->SlotsOfOwner(rank);
    }
  }
  return share.slots > 0 ? share : TargetShare{};
}

TargetShare TargetLease::IsolatedShare(TimePoint now) const {
  const std::size_t rank = this->OwnRank();
  if (rank >= kMaxOwners) {
    return {};
  }
  const GrantPeriod& part = this->parts[rank];
  if (part.valid_until <= now || part.usable_from > now) {
    return {};
  }
  return {.slots = this->SlotsOfOwner(rank),
          .cold_allowed = false,
          .valid_until = part.valid_until};
}

}  // namespace knapweedroad
