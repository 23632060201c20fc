#include "knapweedroad/admission/lease_holder.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "knapweedroad/admission/rendezvous.h"

namespace knapweedroad {
namespace {

// The number of renewals per lease length. A lease survives two lost messages
// in a row.
constexpr int kRenewalsPerLease = 3;

}  // namespace

LeaseHolder::LeaseHolder(const Options& options)
    : options(options),
      peer_liveness({.self = options.self,
                     .started = options.started,
                     .zone_hosts = options.zone_hosts,
                     .voters = options.voters,
                     .timing = options.timing}) {}

LeaseHolder::Entry LeaseHolder::NewEntry(const LeaseTarget& target) const {
  std::vector<HostId> order =
      RendezvousOrder(target.target, this->options.zone_hosts);
  TargetLease::Options lease{
      .slots = target.slots,
      .votes_needed = this->options.voters.size() / 2 + 1,
      .owners = {},
      .self = this->options.self};
  for (std::size_t rank = 0; rank < TargetLease::kMaxOwners; ++rank) {
    if (rank < order.size()) {
      lease.owners[rank] = order[rank];
    }
  }
  return {.lease = TargetLease(lease),
          .preference_order = std::move(order),
          .work_time = target.work_time};
}

void LeaseHolder::SetTargets(std::span<const LeaseTarget> targets, TimePoint) {
  std::set<TargetId> listed;
  for (const LeaseTarget& target : targets) {
    listed.insert(target.target);
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
    entry.removed = !listed.contains(target);
  }
}

void LeaseHolder::SetEligibleHosts(std::span<const HostId> hosts, TimePoint) {
  this->eligible_hosts = std::set<HostId>(hosts.begin(), hosts.end());
}

void LeaseHolder::OnDrained(const TargetId& target) {
  const auto found = this->entries.find(target);
  if (found == this->entries.end() || found->second.share.slots > 0) {
    return;
  }
  Entry& entry = found->second;
  entry.may_have_work = false;
  if (entry.lease.phase == LeasePhase::kDraining) {
    this->ReleaseGrants(target, entry);
  }
}

// A reply to a former incarnation of this host is ignored: sequences restart
// with each incarnation, so the lease would count from the wrong time.
void LeaseHolder::OnReply(const LeaseReply& reply, TimePoint now) {
  const auto request = this->sent_at.find(reply.sequence);
  if (reply.incarnation != this->options.incarnation ||
      request == this->sent_at.end()) {
    return;
  }
  this->peer_liveness.OnReply(reply.grantor, request->second, now);
  for (const LeaseGrant& grant : reply.grants) {
    const auto found = this->entries.find(grant.target);
    if (found == this->entries.end() ||
        reply.sequence < found->second.min_valid_sequence) {
      continue;
    }
    TargetLease& lease = found->second.lease;
    if (lease.phase == LeasePhase::kIdle) {
      continue;
    }
    lease.OnGrant(reply.grantor, grant, request->second, now,
                  this->options.timing);
    if (lease.phase == LeasePhase::kRequesting && lease.MajorityUntil() > now) {
      lease.phase = LeasePhase::kHeld;
      this->RequestSlotParts(grant.target, found->second);
    }
  }
}

LeaseActions LeaseHolder::Tick(TimePoint now) {
  LeaseActions actions;
  if (now >= this->next_advance) {
    this->next_advance = now + this->options.retry_interval;
    for (auto& [target, entry] : this->entries) {
      this->Advance(target, entry, now);
    }
    this->AddKeepAlives(now);
  }
  this->UpdateShares(now, actions);
  this->CreateMessages(now, actions);
  return actions;
}

std::vector<TargetId> LeaseHolder::HeldTargetIds() const {
  std::vector<TargetId> held;
  for (const auto& [target, entry] : this->entries) {
    if (entry.share.slots > 0) {
      held.push_back(target);
    }
  }
  return held;
}

std::vector<HeldTarget> LeaseHolder::HeldTargets(TimePoint now) const {
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

const HostId* LeaseHolder::PreferredHost(const Entry& entry) const {
  for (const HostId& host : entry.preference_order) {
    if (this->eligible_hosts.contains(host)) {
      return &host;
    }
  }
  return nullptr;
}

uint32_t LeaseHolder::DrainingCount() const {
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
      // There is no majority yet. Votes that are kept would prevent another
      // host from getting one.
      this->ReleaseGrants(target, entry);
      entry.next_request =
          now + this->options.retry_interval * (1 + lease.OwnRank());
      break;
    case LeasePhase::kHeld:
      this->AdvanceHeld(target, entry, now);
      break;
    case LeasePhase::kIsolated:
      if (this->leaving || entry.removed || lease.own_part_wanted ||
          !this->peer_liveness.IsIsolated(now)) {
        lease.phase = LeasePhase::kDraining;
      }
      this->RequestOwnPart(target, entry);
      break;
    case LeasePhase::kDraining:
      this->AdvanceDraining(target, entry, now);
      break;
  }
}

void LeaseHolder::AdvanceIdle(const TargetId& target,
                              Entry& entry,
                              TimePoint now) {
  const HostId* preferred = this->PreferredHost(entry);
  if (this->leaving || entry.removed || now < entry.next_request) {
    return;
  }
  if (this->peer_liveness.IsIsolated(now)) {
    if (this->peer_liveness.MayUseOwnPart(now) &&
        entry.lease.OwnRank() < TargetLease::kMaxOwners) {
      entry.lease.phase = LeasePhase::kIsolated;
      this->RequestOwnPart(target, entry);
    }
    return;
  }
  if (preferred != nullptr && *preferred == this->options.self) {
    entry.lease.phase = LeasePhase::kRequesting;
    this->RequestVotes(target, entry);
  }
}

void LeaseHolder::AdvanceHeld(const TargetId& target,
                              Entry& entry,
                              TimePoint now) {
  const HostId* preferred = this->PreferredHost(entry);
  const bool other_preferred =
      preferred != nullptr && *preferred != this->options.self;
  if (!other_preferred) {
    entry.other_preferred_since = TimePoint::max();
  } else if (entry.other_preferred_since == TimePoint::max()) {
    entry.other_preferred_since = now;
  }
  const bool hand_over =
      other_preferred &&
      now - entry.other_preferred_since >= this->options.handover_delay &&
      this->DrainingCount() < this->options.max_handovers;
  if (this->leaving || entry.removed || hand_over) {
    entry.lease.phase = LeasePhase::kDraining;
    entry.other_preferred_since = TimePoint::max();
  }
  if (now >= entry.next_renewal) {
    entry.next_renewal = now + this->options.timing.length / kRenewalsPerLease;
    this->RequestVotes(target, entry);
    this->RequestSlotParts(target, entry);
  }
}

// Renews its grants until the last attempt has ended: no other host may send
// before that.
void LeaseHolder::AdvanceDraining(const TargetId& target,
                                  Entry& entry,
                                  TimePoint now) {
  if (!entry.may_have_work) {
    this->ReleaseGrants(target, entry);
    return;
  }
  if (entry.lease.MajorityUntil() > now) {
    this->RequestVotes(target, entry);
    this->RequestSlotParts(target, entry);
    return;
  }
  this->RequestOwnPart(target, entry);
}

void LeaseHolder::RequestVotes(const TargetId& target, const Entry& entry) {
  for (const HostId& host : this->options.voters) {
    this->pending_operations[host].push_back({.target = target,
                                              .part = LeasePart::kVote,
                                              .work_time = entry.work_time});
  }
}

void LeaseHolder::RequestSlotParts(const TargetId& target, const Entry& entry) {
  for (const HostId& host : entry.lease.owners()) {
    if (!host.empty()) {
      this->pending_operations[host].push_back({.target = target,
                                                .part = LeasePart::kSlots,
                                                .work_time = entry.work_time});
    }
  }
}

void LeaseHolder::RequestOwnPart(const TargetId& target, const Entry& entry) {
  if (entry.lease.OwnRank() >= TargetLease::kMaxOwners) {
    return;
  }
  this->pending_operations[this->options.self].push_back(
      {.target = target,
       .part = LeasePart::kSlots,
       .work_time = entry.work_time});
}

// Releases all grants of the target. The release includes how long attempts may
// still run, since a host that lost its majority may have attempts running that
// it sent before.
void LeaseHolder::ReleaseGrants(const TargetId& target, Entry& entry) {
  const Duration work_time =
      entry.may_have_work ? entry.work_time : Duration::zero();
  for (const HostId& host : this->options.voters) {
    this->pending_operations[host].push_back({.target = target,
                                              .part = LeasePart::kVote,
                                              .release = true,
                                              .work_time = work_time});
  }
  for (const HostId& host : entry.lease.owners()) {
    if (!host.empty()) {
      this->pending_operations[host].push_back({.target = target,
                                                .part = LeasePart::kSlots,
                                                .release = true,
                                                .work_time = work_time});
    }
  }
  entry.lease.Clear();
  entry.lease.phase = LeasePhase::kIdle;
  entry.release_pending = true;
}

// Adds a request, if only an empty one, to every voter and to every host of the
// zone that hasn't replied to this incarnation yet.
void LeaseHolder::AddKeepAlives(TimePoint now) {
  if (now < this->next_keepalive) {
    return;
  }
  this->next_keepalive = now + this->options.timing.length / kRenewalsPerLease;
  for (const HostId& host : this->options.voters) {
    this->pending_operations.try_emplace(host);
  }
  for (const HostId& host : this->options.zone_hosts) {
    if (!this->peer_liveness.HasReplied(host)) {
      this->pending_operations.try_emplace(host);
    }
  }
}

void LeaseHolder::UpdateShares(TimePoint now, LeaseActions& actions) {
  this->next_wake = this->next_advance;
  const auto stopped_from = [&](const HostId& host) {
    return this->peer_liveness.StoppedFrom(host);
  };
  for (auto& [target, entry] : this->entries) {
    const TargetShare share = entry.lease.Share(now, stopped_from);
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

void LeaseHolder::CreateMessages(TimePoint now, LeaseActions& actions) {
  std::erase_if(this->sent_at, [&](const auto& entry) {
    return now - entry.second > this->options.timing.length;
  });
  const bool all_released =
      std::all_of(this->entries.begin(), this->entries.end(), [](auto& item) {
        return item.second.lease.phase == LeasePhase::kIdle &&
               !item.second.may_have_work;
      });
  const bool is_final =
      this->leaving && all_released && !this->final_request_sent;
  if (is_final) {
    this->final_request_sent = true;
    for (const HostId& host : this->options.zone_hosts) {
      this->pending_operations.try_emplace(host);
    }
  }
  for (auto& [host, operations] : this->pending_operations) {
    ++this->sequence;
    this->sent_at.emplace(this->sequence, now);
    actions.messages.push_back(
        {.to = host,
         .request = {.holder = this->options.self,
                     .incarnation = this->options.incarnation,
                     .sequence = this->sequence,
                     .is_final = is_final,
                     .operations = std::move(operations)}});
  }
  this->pending_operations.clear();
  // Grants that were requested before a release are ignored: by the time the
  // reply arrives, the grantor may have assigned the grant to another host.
  for (auto& [target, entry] : this->entries) {
    if (entry.release_pending) {
      entry.release_pending = false;
      entry.min_valid_sequence = this->sequence + 1;
    }
  }
}

}  // namespace knapweedroad
