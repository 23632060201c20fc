#include "knapweedroad/registry/target_registry.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace knapweedroad {
namespace {

// A change of the end of a cold start is published only above this; smaller
// differences are jitter of delivery.
constexpr Duration kColdJitter = std::chrono::milliseconds(400);

std::string AddressKey(const Endpoint& address) {
  return address.ip + ":" + std::to_string(address.port);
}

// Whether followers act differently on the two records.
bool DiffersVisibly(const TargetRecord& left, const TargetRecord& right) {
  return left.service != right.service || left.zone != right.zone ||
         left.version != right.version || left.address != right.address ||
         left.slots != right.slots || left.started_ms != right.started_ms ||
         left.phase != right.phase ||
         left.heartbeat_receiver != right.heartbeat_receiver;
}

}  // namespace

TargetRegistry::TargetRegistry(TargetRegistryOptions options)
    : options(std::move(options)) {}

bool TargetRegistry::Apply(TargetRecord record, TimePoint now) {
  const auto [place, is_new] = this->entries.try_emplace(record.id);
  Entry& entry = place->second;
  if (!is_new && !Supersedes(record, entry.record)) {
    return false;
  }
  const TimePoint cold_until = now + record.cold_left;
  const bool cold_moved =
      cold_until > entry.cold_until
          ? cold_until - entry.cold_until > kColdJitter && cold_until > now
          : entry.cold_until - cold_until > kColdJitter &&
                entry.cold_until > now;
  if (record.phase == TargetPhase::kServing ||
      record.started_ms != entry.record.started_ms) {
    entry.held_phase.reset();
  }
  const bool is_visible_change =
      is_new || cold_moved || DiffersVisibly(record, entry.record);
  entry.record = std::move(record);
  entry.cold_until = cold_until;
  entry.last_update = now;
  if (is_visible_change) {
    entry.changed = ++this->newest_revision;
    this->ResolveAddressConflict(entry.record.id, now);
  }
  return true;
}

// Of two targets at one address, the one that started later is current:
// addresses of crashed targets are reassigned to other services, and late
// announcements still carry the first target.
void TargetRegistry::ResolveAddressConflict(const TargetId& id, TimePoint) {
  Entry& entry = this->entries.at(id);
  if (entry.record.phase == TargetPhase::kGone) {
    return;
  }
  TargetId& holder = this->by_address[AddressKey(entry.record.address)];
  const auto other = this->entries.find(holder);
  if (holder != id && other != this->entries.end() &&
      other->second.record.address == entry.record.address &&
      other->second.record.phase != TargetPhase::kGone) {
    const uint64_t other_start = other->second.record.started_ms;
    if (other_start > entry.record.started_ms) {
      this->MarkGone(entry);
      return;
    }
    if (other_start < entry.record.started_ms) {
      this->MarkGone(other->second);
    }
  }
  holder = id;
}

void TargetRegistry::MarkGone(Entry& entry) {
  entry.record.phase = TargetPhase::kGone;
  entry.changed = ++this->newest_revision;
}

AnnounceResult TargetRegistry::Announce(TargetRecord record, TimePoint now) {
  const auto found = this->entries.find(record.id);
  if (found == this->entries.end() &&
      this->entries.size() >= this->options.max_targets) {
    return AnnounceResult::kFull;
  }
  record.heartbeat_receiver = this->options.self;
  return this->Apply(std::move(record), now) ? AnnounceResult::kAccepted
                                             : AnnounceResult::kOutdated;
}

AnnounceResult TargetRegistry::EndIncarnation(Entry& entry,
                                              uint64_t started_ms,
                                              uint64_t sequence,
                                              TimePoint now) {
  if (started_ms != 0 && started_ms < entry.record.started_ms) {
    return AnnounceResult::kOutdated;
  }
  if (started_ms > entry.record.started_ms) {
    entry.held_phase.reset();
  }
  entry.record.started_ms = std::max(entry.record.started_ms, started_ms);
  entry.record.sequence = std::max(entry.record.sequence, sequence);
  entry.last_update = now;
  if (entry.record.phase != TargetPhase::kGone) {
    this->MarkGone(entry);
  }
  return AnnounceResult::kAccepted;
}

AnnounceResult TargetRegistry::Deregister(const TargetId& id,
                                          uint64_t started_ms,
                                          uint64_t sequence,
                                          TimePoint now) {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) {
    return this->EndIncarnation(found->second, started_ms, sequence, now);
  }
  if (this->entries.size() >= this->options.max_targets) {
    return AnnounceResult::kFull;
  }
  this->Apply({.id = id,
               .started_ms = started_ms,
               .sequence = sequence,
               .phase = TargetPhase::kGone,
               .heartbeat_receiver = this->options.self},
              now);
  return AnnounceResult::kAccepted;
}

void TargetRegistry::MarkDepartureHeld(const TargetRecord& departure) {
  const auto found = this->entries.find(departure.id);
  if (found != this->entries.end() &&
      found->second.record.started_ms == departure.started_ms &&
      found->second.record.phase == departure.phase) {
    found->second.held_phase = departure.phase;
  }
}

const TargetRecord* TargetRegistry::FindUnheldDeparture(
    const TargetId& id) const {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return nullptr;
  }
  const Entry& entry = found->second;
  const bool is_departure = entry.record.phase == TargetPhase::kLeaving ||
                            entry.record.phase == TargetPhase::kGone;
  return is_departure && entry.held_phase != entry.record.phase ? &entry.record
                                                                : nullptr;
}

void TargetRegistry::Merge(TargetRecord record, TimePoint now) {
  const auto found = this->entries.find(record.id);
  if (found == this->entries.end()) {
    if (this->entries.size() < this->options.max_targets) {
      this->Apply(std::move(record), now);
    }
    return;
  }
  // A sign-off that reached its host before any announcement names an
  // incarnation only.
  if (record.phase == TargetPhase::kGone && record.service.empty() &&
      record.started_ms == found->second.record.started_ms) {
    this->EndIncarnation(found->second, record.started_ms, record.sequence,
                         now);
    return;
  }
  const TargetPhase received_phase = record.phase;
  const HostId received_receiver = record.heartbeat_receiver;
  if (this->Apply(std::move(record), now)) {
    return;
  }
  // Heartbeats that change nothing aren't forwarded. If another control host
  // forwards a different state of a target whose heartbeats arrive here, this
  // host publishes its own record again.
  Entry& entry = found->second;
  const bool is_own = entry.record.heartbeat_receiver == this->options.self;
  if (is_own && (received_phase != entry.record.phase ||
                 received_receiver != entry.record.heartbeat_receiver)) {
    entry.changed = ++this->newest_revision;
  }
}

void TargetRegistry::Sweep(const std::function<bool(const HostId&)>& is_live,
                           TimePoint now) {
  for (auto& [id, entry] : this->entries) {
    const bool is_own = entry.record.heartbeat_receiver == this->options.self;
    if (entry.record.phase != TargetPhase::kServing ||
        (!is_own && is_live(entry.record.heartbeat_receiver))) {
      continue;
    }
    // The targets of a failed control host get twice the time, to find another
    // one.
    const Duration allowed = this->options.silent_after * (is_own ? 1 : 2);
    if (now - entry.last_update > allowed) {
      entry.record.phase = TargetPhase::kSilent;
      entry.changed = ++this->newest_revision;
    }
  }
  std::erase_if(this->entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool is_ended = entry.record.phase == TargetPhase::kGone ||
                          entry.record.phase == TargetPhase::kSilent;
    return is_ended && now - entry.last_update > this->options.forget_after;
  });
  std::erase_if(this->by_address, [&](const auto& item) {
    return !this->entries.contains(item.second);
  });
}

std::vector<TargetRecord> TargetRegistry::ChangedSince(uint64_t revision,
                                                       TimePoint now) const {
  std::vector<TargetRecord> changed;
  for (const auto& [id, entry] : this->entries) {
    if (entry.changed > revision) {
      changed.push_back(entry.record);
      changed.back().cold_left =
          std::max(Duration::zero(), Duration(entry.cold_until - now));
    }
  }
  return changed;
}

void TargetRegistry::ForEach(
    const std::function<void(const TargetRecord& record, bool is_cold)>& visit,
    TimePoint now) const {
  for (const auto& [id, entry] : this->entries) {
    visit(entry.record, entry.cold_until > now);
  }
}

VersionId TargetRegistry::VersionInUse(const ServiceId& service,
                                       const VersionId& candidate) const {
  const TargetRecord* first = nullptr;
  const auto key = [&](const TargetRecord& record) {
    return std::tuple(record.version == candidate, record.started_ms,
                      record.version);
  };
  for (const auto& [id, entry] : this->entries) {
    const TargetRecord& record = entry.record;
    const bool counts =
        record.service == service && record.phase != TargetPhase::kGone;
    if (counts && (first == nullptr || key(record) < key(*first))) {
      first = &record;
    }
  }
  return first == nullptr ? VersionId() : first->version;
}

bool TargetRegistry::HasTargets(const ServiceId& service) const {
  return std::ranges::any_of(this->entries, [&](const auto& item) {
    return item.second.record.service == service;
  });
}

const TargetRecord* TargetRegistry::Find(const TargetId& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.record;
}

}  // namespace knapweedroad
