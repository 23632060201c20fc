#include "knapweedroad/admission/target_lease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace knapweedroad {
namespace {

// The latest moment that at least `needed` of them reach.
TimePoint ReachedBy(std::vector<TimePoint> times, std::size_t needed) {
  if (needed == 0 || times.size() < needed) {
    return TimePoint{};
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

}  // namespace

void TargetLease::OnGrant(const HostId& from,
                          const LeaseGrant& grant,
                          TimePoint sent,
                          TimePoint now,
                          const LeaseTiming& timing) {
  if (!grant.granted) {
    return;
  }
  const Held held{.valid_until = sent + timing.HolderLength(),
                  .usable_from = now + timing.Stretched(grant.wait)};
  if (grant.part == LeasePart::kVote) {
    this->votes[from] = held;
    return;
  }
  for (std::size_t rank = 0; rank < kOwners; ++rank) {
    if (this->options.owners[rank] == from) {
      this->parts[rank] = held;
    }
  }
  if (from == this->options.self) {
    this->wanted = grant.wanted;
  }
}

void TargetLease::Clear() {
  this->votes.clear();
  this->parts = {};
  this->wanted = false;
}

TimePoint TargetLease::VotedUntil() const {
  std::vector<TimePoint> ends;
  for (const auto& [host, vote] : this->votes) {
    ends.push_back(vote.valid_until);
  }
  return ReachedBy(std::move(ends), this->options.votes_needed);
}

uint32_t TargetLease::SlotsOf(std::size_t rank) const {
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
                               const StoppedFrom& stopped) const {
  switch (this->phase) {
    case LeasePhase::kHeld:
      return this->MajorityShare(now, stopped);
    case LeasePhase::kIsolated:
      return this->IsolatedShare(now);
    default:
      return {};
  }
}

// A majority decides who the holder is, and each part of the slots is lent by
// its owner, or taken for it where the owner is known not to run. So the slots
// of a host that can't be reached stay free for it: it may be cut off, and use
// them.
TargetShare TargetLease::MajorityShare(TimePoint now,
                                       const StoppedFrom& stopped) const {
  // Any majority that has waited for earlier work shares a member with the
  // majority that any earlier holder had.
  std::vector<TimePoint> ends;
  for (const auto& [host, vote] : this->votes) {
    if (vote.usable_from <= now) {
      ends.push_back(vote.valid_until);
    }
  }
  const TimePoint voted =
      ReachedBy(std::move(ends), this->options.votes_needed);
  if (voted <= now) {
    return {};
  }
  TargetShare share{.slots = 0, .valid_until = voted};
  for (std::size_t rank = 0; rank < kOwners; ++rank) {
    const HostId& owner = this->options.owners[rank];
    const Held& part = this->parts[rank];
    if (owner.empty()) {
      continue;
    }
    if (part.valid_until > now && part.usable_from <= now) {
      share.slots += this->SlotsOf(rank);
      share.valid_until = std::min(share.valid_until, part.valid_until);
    } else if (stopped(owner) <= now) {
      share.slots += this->SlotsOf(rank);
    }
  }
  return share.slots > 0 ? share : TargetShare{};
}

TargetShare TargetLease::IsolatedShare(TimePoint now) const {
  const std::size_t rank = this->OwnRank();
  if (rank >= kOwners) {
    return {};
  }
  const Held& part = this->parts[rank];
  if (part.valid_until <= now || part.usable_from > now) {
    return {};
  }
  return {.slots = this->SlotsOf(rank),
          .cold_allowed = false,
          .valid_until = part.valid_until};
}

}  // namespace knapweedroad
