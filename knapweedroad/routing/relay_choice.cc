#include "knapweedroad/routing/relay_choice.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace knapweedroad {
namespace {

uint64_t RankOf(const HostId& self, const HostId& host) {
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
      ranked[record.zone].emplace(RankOf(this->options.self, record.host),
                                  &record);
    }
  }
  std::map<HostId, Relay> next;
  for (const auto& [zone, by_rank] : ranked) {
    size_t taken = 0;
    for (const auto& [rank, record] : by_rank) {
      if (taken++ == this->options.hosts_a_zone) {
        break;
      }
      Relay& relay = next[record->host];
      const auto known = this->relays.find(record->host);
      if (known != this->relays.end()) {
        relay = std::move(known->second);
      }
      relay.record = *record;
    }
  }
  this->relays = std::move(next);
}

bool RelayChoice::MayCall(const Relay& relay, TimePoint now) {
  return now >= relay.avoid_until &&
         (relay.due.empty() || now <= *relay.due.begin());
}

std::vector<ZoneId> RelayChoice::Zones(TimePoint now) {
  std::vector<ZoneId> zones;
  for (const auto& [host, relay] : this->relays) {
    if (MayCall(relay, now) &&
        std::ranges::find(zones, relay.record.zone) == zones.end()) {
      zones.push_back(relay.record.zone);
    }
  }
  std::ranges::shuffle(zones, this->random);
  return zones;
}

std::optional<EntryHostRecord> RelayChoice::Choose(
    const ZoneId& zone,
    std::span<const HostId> known,
    TimePoint now) {
  const Relay* best = nullptr;
  for (const auto& [host, relay] : this->relays) {
    if (relay.record.zone != zone || !MayCall(relay, now)) {
      continue;
    }
    if (std::ranges::find(known, host) != known.end()) {
      return relay.record;
    }
    if (best == nullptr || relay.due.size() < best->due.size()) {
      best = &relay;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->record);
}

void RelayChoice::OnCalled(const HostId& host, TimePoint due) {
  const auto found = this->relays.find(host);
  if (found != this->relays.end()) {
    found->second.due.insert(due);
  }
}

void RelayChoice::EndCall(const HostId& host, TimePoint due) {
  const auto found = this->relays.find(host);
  if (found == this->relays.end()) {
    return;
  }
  const auto call = found->second.due.find(due);
  if (call != found->second.due.end()) {
    found->second.due.erase(call);
  }
}

void RelayChoice::OnReplied(const HostId& host, TimePoint due) {
  this->EndCall(host, due);
}

void RelayChoice::OnFailed(const HostId& host, TimePoint due, TimePoint now) {
  this->EndCall(host, due);
  const auto found = this->relays.find(host);
  if (found != this->relays.end()) {
    found->second.avoid_until = now + this->options.avoid_after_failure;
  }
}

}  // namespace knapweedroad
