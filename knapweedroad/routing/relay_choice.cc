#include "knapweedroad/routing/relay_choice.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace knapweedroad {
namespace {

uint64_t RankFor(const HostId& self, const HostId& host) {
  return XXH64(host.str().data(), host.str().size(),
               XXH64(self.str().data(), self.str().size(), 2));
}

}  // namespace

RelayChoice::RelayChoice(RelayChoiceOptions options)
    : options(std::move(options)),
      random(static_cast<std::minstd_rand::result_type>(this->options.seed)) {}

void RelayChoice::SetHosts(std::span<const EntryHostRecord> hosts) {
  std::map<ZoneId, std::map<uint64_t, const EntryHostRecord*>> ranked;
  for (const EntryHostRecord& record : hosts) {
    if (record.zone != this->options.zone && record.peer_address.port != 0) {
      ranked[record.zone].emplace(RankFor(this->options.self, record.host),
                                  &record);
    }
  }
  this->relays.clear();
  for (const auto& [zone, by_rank] : ranked) {
    size_t taken = 0;
    for (const auto& [rank, record] : by_rank) {
      if (taken++ == this->options.hosts_per_zone) {
        break;
      }
      this->relays.emplace(record->host, *record);
    }
  }
  std::set<HostId> listed;
  for (const EntryHostRecord& record : hosts) {
    listed.insert(record.host);
  }
  std::erase_if(this->calls, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
}

bool RelayChoice::IsAvailable(const HostId& host, TimePoint now) const {
  const auto found = this->calls.find(host);
  if (found == this->calls.end()) {
    return true;
  }
  const CallState& state = found->second;
  return now >= state.avoid_until &&
         (state.deadlines.empty() || now <= *state.deadlines.begin());
}

size_t RelayChoice::CallsInFlight(const HostId& host) const {
  const auto found = this->calls.find(host);
  return found == this->calls.end() ? 0 : found->second.deadlines.size();
}

std::vector<ZoneId> RelayChoice::AvailableZones(TimePoint now) {
  std::vector<ZoneId> zones;
  for (const auto& [host, record] : this->relays) {
    if (this->IsAvailable(host, now) &&
        std::ranges::find(zones, record.zone) == zones.end()) {
      zones.push_back(record.zone);
    }
  }
  std::ranges::shuffle(zones, this->random);
  return zones;
}

std::optional<EntryHostRecord> RelayChoice::Choose(
    const ZoneId& zone,
    std::span<const HostId> preferred,
    TimePoint now) {
  const EntryHostRecord* best = nullptr;
  for (const auto& [host, record] : this->relays) {
    if (record.zone != zone || !this->IsAvailable(host, now)) {
      continue;
    }
    if (std::ranges::find(preferred, host) != preferred.end()) {
      return record;
    }
    if (best == nullptr ||
        this->CallsInFlight(host) < this->CallsInFlight(best->host)) {
      best = &record;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void RelayChoice::OnCalled(const HostId& host, TimePoint deadline) {
  this->calls[host].deadlines.insert(deadline);
}

RelayChoice::CallState* RelayChoice::EndCall(const HostId& host,
                                             TimePoint deadline) {
  const auto found = this->calls.find(host);
  if (found == this->calls.end()) {
    return nullptr;
  }
  CallState& state = found->second;
  const auto call = state.deadlines.find(deadline);
  if (call != state.deadlines.end()) {
    state.deadlines.erase(call);
  }
  return &state;
}

void RelayChoice::OnReplied(const HostId& host, TimePoint deadline) {
  this->EndCall(host, deadline);
}

void RelayChoice::OnFailed(const HostId& host,
                           TimePoint deadline,
                           TimePoint now) {
  if (CallState* const state = this->EndCall(host, deadline)) {
    state->avoid_until = now + this->options.avoid_after_failure;
  }
}

}  // namespace knapweedroad
