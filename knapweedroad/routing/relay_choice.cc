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
  std::map<HostId, Relay> next;
  for (const auto& [zone, by_rank] : ranked) {
    size_t taken = 0;
    for (const auto& [rank, record] : by_rank) {
      if (taken++ == this->options.hosts_per_zone) {
        break;
      }
      Relay& relay = next[record->host];
      const auto previous = this->relays.find(record->host);
      if (previous != this->relays.end()) {
        relay = std::move(previous->second);
      }
      relay.record = *record;
    }
  }
  this->relays = std::move(next);
}

bool RelayChoice::IsAvailable(const Relay& relay, TimePoint now) {
  return now >= relay.avoid_until &&
         (relay.deadlines.empty() || now <= *relay.deadlines.begin());
}

std::vector<ZoneId> RelayChoice::AvailableZones(TimePoint now) {
  std::vector<ZoneId> zones;
  for (const auto& [host, relay] : this->relays) {
    if (IsAvailable(relay, now) &&
        std::ranges::find(zones, relay.record.zone) == zones.end()) {
      zones.push_back(relay.record.zone);
    }
  }
  std::ranges::shuffle(zones, this->random);
  return zones;
}

std::optional<EntryHostRecord> RelayChoice::Choose(
    const ZoneId& zone,
    std::span<const HostId> preferred,
    TimePoint now) {
  const Relay* best = nullptr;
  for (const auto& [host, relay] : this->relays) {
    if (relay.record.zone != zone || !IsAvailable(relay, now)) {
      continue;
    }
    if (std::ranges::find(preferred, host) != preferred.end()) {
      return relay.record;
    }
    if (best == nullptr || relay.deadlines.size() < best->deadlines.size()) {
      best = &relay;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->record);
}

void RelayChoice::OnCalled(const HostId& host, TimePoint deadline) {
  const auto found = this->relays.find(host);
  if (found != this->relays.end()) {
    found->second.deadlines.insert(deadline);
  }
}

void RelayChoice::EndCall(const HostId& host, TimePoint deadline) {
  const auto found = this->relays.find(host);
  if (found == this->relays.end()) {
    return;
  }
  const auto call = found->second.deadlines.find(deadline);
  if (call != found->second.deadlines.end()) {
    found->second.deadlines.erase(call);
  }
}

void RelayChoice::OnReplied(const HostId& host, TimePoint deadline) {
  this->EndCall(host, deadline);
}

void RelayChoice::OnFailed(const HostId& host,
                           TimePoint deadline,
                           TimePoint now) {
  this->EndCall(host, deadline);
  const auto found = this->relays.find(host);
  if (found != this->relays.end()) {
    found->second.avoid_until = now + this->options.avoid_after_failure;
  }
}

}  // namespace knapweedroad
