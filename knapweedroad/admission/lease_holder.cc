#include "knapweedroad/admission/lease_holder.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "knapweedroad/admission/rendezvous.h"

namespace knapweedroad {
namespace {

// Leases are renewed this often within their length, so that two lost messages
// in a row cost nothing.
constexpr int kRenewalsPerLease = 3;

}  // namespace

LeaseHolder::LeaseHolder(const Options& options)
    : options(options),
      contacts({.self = options.self,
                .started = options.started,
                .zone_hosts = options.zone_hosts,
                .electorate = options.electorate,
                .timing = options.timing}) {}

LeaseHolder::Entry LeaseHolder::NewEntry(const LeaseTarget& target) const {
  std::vector<HostId> order =
      RendezvousOrder(target.target, this->options.zone_hosts);
  TargetLease::Options lease{
      .slots = target.slots,
      .votes_needed = this->options.electorate.size() / 2 + 1,
      .owners = {},
      .self = this->options.self};
  for (std::size_t rank = 0; rank < TargetLease::kMaxOwners; ++rank) {
    if (rank < order.size()) {
      lease.owners[rank] = order[rank];
    }
  }
  return {.lease = TargetLease(lease),
          .order = std::move(order),
          .work_time = target.work_time};
}

void LeaseHolder::SetTargets(std::span<const LeaseTarget> targets, TimePoint) {
  std::set<TargetId> named;
  for (const LeaseTarget& target : targets) {
    named.insert(target.target);
    const auto found = this->entries.find(target.target);
    if (found == this->entries.end()) {
      this->entries.emplace(target.target, this->NewEntry(target));
      continue;
    }
    found->second.lease.SetSlots(target.slots);
    found->second.work_time =
        std::max(found->second.work_time, target.work_time);
  }
  for (auto& [target, entry] : this->entries) {
    entry.removed = !named.contains(target);
  }
}

void LeaseHolder::SetEligibleHosts(std::span<const HostId> hosts, TimePoint) {
  this->eligible = std::set<HostId>(hosts.begin(), hosts.end());
}

void LeaseHolder::OnDrained(const TargetId& target) {
  const auto found = this->entries.find(target);
  if (found == this->entries.end() || found->second.share.slots > 0) {
    return;
  }
  Entry& entry = found->second;
  entry.may_have_work = false;
  if (entry.lease.phase == LeasePhase::kDraining) {
    this->GiveBack(target, entry);
  }
}

// A reply of an earlier life of this host would count a lease from the wrong
// moment: sequences start anew with each incarnation.
void LeaseHolder::OnReply(const LeaseReply& reply, TimePoint now) {
  const auto asked = this->sent.find(reply.sequence);
  if (reply.incarnation != this->options.incarnation ||
      asked == this->sent.end()) {
    return;
  }
  this->contacts.OnAnswered(reply.grantor, asked->second, now);
  for (const LeaseGrant& grant : reply.grants) {
    const auto found = this->entries.find(grant.target);
    if (found == this->entries.end() ||
        reply.sequence < found->second.valid_from_sequence) {
      continue;
    }
    TargetLease& lease = found->second.lease;
    if (lease.phase == LeasePhase::kIdle) {
      continue;
    }
    lease.OnGrant(reply.grantor, grant, asked->second, now,
                  this->options.timing);
    if (lease.phase == LeasePhase::kRequesting && lease.MajorityUntil() > now) {
      lease.phase = LeasePhase::kHeld;
      this->AskParts(grant.target, found->second);
    }
  }
}

LeaseActions LeaseHolder::Tick(TimePoint now) {
  LeaseActions actions;
  if (now >= this->next_round) {
    this->next_round = now + this->options.retry_interval;
    for (auto& [target, entry] : this->entries) {
      this->Advance(target, entry, now);
    }
    this->KeepAlive(now);
  }
  this->UpdateShares(now, actions);
  this->Flush(now, actions);
  return actions;
}

std::vector<TargetId> LeaseHolder::HeldTargets() const {
  std::vector<TargetId> held;
  for (const auto& [target, entry] : this->entries) {
    if (entry.share.slots > 0) {
      held.push_back(target);
    }
  }
  return held;
}

std::vector<HeldTarget> LeaseHolder::Holdings(TimePoint now) const {
  std::vector<HeldTarget> holdings;
  for (const auto& [target, entry] : this->entries) {
    if (entry.share.slots > 0) {
      holdings.push_back(
          {.target = target,
           .slots = entry.share.slots,
           .isolated = entry.lease.phase == LeasePhase::kIsolated,
           .held_for = now - entry.held_since});
    }
  }
  return holdings;
}

const HostId* LeaseHolder::Preferred(const Entry& entry) const {
  for (const HostId& host : entry.order) {
    if (this->eligible.contains(host)) {
      return &host;
    }
  }
  return nullptr;
}

uint32_t LeaseHolder::Draining() const {
  return static_cast<uint32_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [](const auto& item) {
        return item.second.lease.phase == LeasePhase::kDraining;
      }));
}

void LeaseHolder::Advance(const TargetId& target, Entry& entry, TimePoint now) {
  TargetLease& lease = entry.lease;
  if (lease.phase == LeasePhase::kHeld && lease.MajorityUntil() <= now) {
    lease.phase = LeasePhase::kIdle;
  }
  switch (lease.phase) {
    case LeasePhase::kIdle:
      this->AdvanceIdle(target, entry, now);
      break;
    case LeasePhase::kRequesting:
      // Votes without a majority would keep another host from getting one.
      this->GiveBack(target, entry);
      entry.next_ask =
          now + this->options.retry_interval * (1 + lease.OwnRank());
      break;
    case LeasePhase::kHeld:
      this->AdvanceHeld(target, entry, now);
      break;
    case LeasePhase::kIsolated:
      if (this->leaving || entry.removed || lease.own_part_wanted ||
          !this->contacts.Isolated(now)) {
        lease.phase = LeasePhase::kDraining;
      }
      this->AskOwnPart(target, entry);
      break;
    case LeasePhase::kDraining:
      this->AdvanceDraining(target, entry, now);
      break;
  }
}

void LeaseHolder::AdvanceIdle(const TargetId& target,
                              Entry& entry,
                              TimePoint now) {
  const HostId* preferred = this->Preferred(entry);
  if (this->leaving || entry.removed || now < entry.next_ask) {
    return;
  }
  if (this->contacts.Isolated(now)) {
    if (this->contacts.MayActIsolated(now) &&
        entry.lease.OwnRank() < TargetLease::kMaxOwners) {
      entry.lease.phase = LeasePhase::kIsolated;
      this->AskOwnPart(target, entry);
    }
    return;
  }
  if (preferred != nullptr && *preferred == this->options.self) {
    entry.lease.phase = LeasePhase::kRequesting;
    this->AskVotes(target, entry);
  }
}

void LeaseHolder::AdvanceHeld(const TargetId& target,
                              Entry& entry,
                              TimePoint now) {
  const HostId* preferred = this->Preferred(entry);
  const bool better = preferred != nullptr && *preferred != this->options.self;
  if (!better) {
    entry.better_since = TimePoint::max();
  } else if (entry.better_since == TimePoint::max()) {
    entry.better_since = now;
  }
  const bool hand_over =
      better && now - entry.better_since >= this->options.handover_delay &&
      this->Draining() < this->options.max_handovers;
  if (this->leaving || entry.removed || hand_over) {
    entry.lease.phase = LeasePhase::kDraining;
    entry.better_since = TimePoint::max();
  }
  if (now >= entry.next_renewal) {
    entry.next_renewal = now + this->options.timing.length / kRenewalsPerLease;
    this->AskVotes(target, entry);
    this->AskParts(target, entry);
  }
}

// Keeps what it has until its last attempt has ended: nobody else may send
// before that.
void LeaseHolder::AdvanceDraining(const TargetId& target,
                                  Entry& entry,
                                  TimePoint now) {
  if (!entry.may_have_work) {
    this->GiveBack(target, entry);
    return;
  }
  if (entry.lease.MajorityUntil() > now) {
    this->AskVotes(target, entry);
    this->AskParts(target, entry);
    return;
  }
  this->AskOwnPart(target, entry);
}

void LeaseHolder::AskVotes(const TargetId& target, const Entry& entry) {
  for (const HostId& host : this->options.electorate) {
    this->asks[host].push_back({.target = target,
                                .part = LeasePart::kVote,
                                .work_time = entry.work_time});
  }
}

void LeaseHolder::AskParts(const TargetId& target, const Entry& entry) {
  for (const HostId& host : entry.lease.owners()) {
    if (!host.empty()) {
      this->asks[host].push_back({.target = target,
                                  .part = LeasePart::kSlots,
                                  .work_time = entry.work_time});
    }
  }
}

void LeaseHolder::AskOwnPart(const TargetId& target, const Entry& entry) {
  if (entry.lease.OwnRank() >= TargetLease::kMaxOwners) {
    return;
  }
  this->asks[this->options.self].push_back({.target = target,
                                            .part = LeasePart::kSlots,
                                            .work_time = entry.work_time});
}

// Gives all of it back. It is said along how long work under it may run, as a
// host that lost its majority may still have work of before.
void LeaseHolder::GiveBack(const TargetId& target, Entry& entry) {
  const Duration work =
      entry.may_have_work ? entry.work_time : Duration::zero();
  for (const HostId& host : this->options.electorate) {
    this->asks[host].push_back({.target = target,
                                .part = LeasePart::kVote,
                                .release = true,
                                .work_time = work});
  }
  for (const HostId& host : entry.lease.owners()) {
    if (!host.empty()) {
      this->asks[host].push_back({.target = target,
                                  .part = LeasePart::kSlots,
                                  .release = true,
                                  .work_time = work});
    }
  }
  entry.lease.Clear();
  entry.lease.phase = LeasePhase::kIdle;
  entry.given_back = true;
}

// Asks every voter for a sign of life, and every host of the zone that has not
// yet answered this incarnation.
void LeaseHolder::KeepAlive(TimePoint now) {
  if (now < this->next_keepalive) {
    return;
  }
  this->next_keepalive = now + this->options.timing.length / kRenewalsPerLease;
  for (const HostId& host : this->options.electorate) {
    this->asks.try_emplace(host);
  }
  for (const HostId& host : this->options.zone_hosts) {
    if (!this->contacts.HasAnswered(host)) {
      this->asks.try_emplace(host);
    }
  }
}

void LeaseHolder::UpdateShares(TimePoint now, LeaseActions& actions) {
  this->next_wake = this->next_round;
  const auto stopped = [&](const HostId& host) {
    return this->contacts.StoppedFrom(host);
  };
  for (auto& [target, entry] : this->entries) {
    const TargetShare share = entry.lease.Share(now, stopped);
    if (share.slots > 0) {
      entry.may_have_work = true;
      this->next_wake = std::min(this->next_wake, share.valid_until);
    }
    if (share.slots > 0 && entry.share.slots == 0) {
      entry.held_since = now;
    }
    if (share != entry.share) {
      entry.share = share;
      actions.shares.push_back({.target = target, .share = share});
    }
  }
  std::erase_if(this->entries, [](const auto& item) {
    const Entry& entry = item.second;
    return entry.removed && !entry.may_have_work &&
           entry.lease.phase == LeasePhase::kIdle;
  });
}

void LeaseHolder::Flush(TimePoint now, LeaseActions& actions) {
  std::erase_if(this->sent, [&](const auto& entry) {
    return now - entry.second > this->options.timing.length;
  });
  const bool all_given_back =
      std::all_of(this->entries.begin(), this->entries.end(), [](auto& item) {
        return item.second.lease.phase == LeasePhase::kIdle &&
               !item.second.may_have_work;
      });
  const bool goodbye = this->leaving && all_given_back && !this->said_goodbye;
  if (goodbye) {
    this->said_goodbye = true;
    for (const HostId& host : this->options.zone_hosts) {
      this->asks.try_emplace(host);
    }
  }
  for (auto& [host, asks] : this->asks) {
    ++this->sequence;
    this->sent.emplace(this->sequence, now);
    actions.messages.push_back(
        {.to = host,
         .request = {.holder = this->options.self,
                     .incarnation = this->options.incarnation,
                     .sequence = this->sequence,
                     .goodbye = goodbye,
                     .asks = std::move(asks)}});
  }
  this->asks.clear();
  // A grant that crosses its own release on the way is none: its grantor has
  // given the target on by then, perhaps.
  for (auto& [target, entry] : this->entries) {
    if (entry.given_back) {
      entry.given_back = false;
      entry.valid_from_sequence = this->sequence + 1;
    }
  }
}

}  // namespace knapweedroad
