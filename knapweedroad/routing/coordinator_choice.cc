#include "knapweedroad/routing/coordinator_choice.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include <xxhash.h>

namespace knapweedroad {
namespace {

uint64_t RankFor(size_t slice, const EntryHostRecord& host) {
  return XXH64(host.host.str().data(), host.host.str().size(), slice);
}

std::vector<EntryHostRecord> TopRanked(std::span<const EntryHostRecord> hosts,
                                       size_t slice,
                                       size_t count) {
  std::vector<std::pair<uint64_t, const EntryHostRecord*>> ranked;
  ranked.reserve(hosts.size());
  for (const EntryHostRecord& host : hosts) {
    ranked.emplace_back(RankFor(slice, host), &host);
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(ranked, end);
  std::vector<EntryHostRecord> top;
  top.reserve(count);
  for (auto it = ranked.begin(); it != end; ++it) {
    top.push_back(*it->second);
  }
  return top;
}

}  // namespace

CoordinatorChoice::CoordinatorChoice(CoordinatorChoiceOptions options)
    : options(std::move(options)) {}

void CoordinatorChoice::SetHosts(std::span<const EntryHostRecord> hosts) {
  this->zones.clear();
  for (const EntryHostRecord& host : hosts) {
    if (host.peer_address.port != 0) {
      this->zones[host.zone].hosts.push_back(host);
    }
  }
}

size_t CoordinatorChoice::SliceCount(size_t shards) const {
  const size_t slice = this->options.shards_per_slice;
  return std::max<size_t>(1, (shards + slice - 1) / slice);
}

size_t CoordinatorChoice::ReplicaCount(size_t host_count, size_t slices) const {
  const size_t replicas =
      std::max(this->options.min_replicas,
               host_count / (this->options.hosts_per_replica * slices));
  const size_t coordinators = replicas * slices;
  return coordinators * this->options.min_hosts_per_coordinator <= host_count
             ? replicas
             : 0;
}

std::vector<ZoneId> CoordinatorChoice::Zones(size_t slices) const {
  std::vector<ZoneId> result;
  for (const auto& [id, zone] : this->zones) {
    if (this->ReplicaCount(zone.hosts.size(), slices) > 0) {
      result.push_back(id);
    }
  }
  return result;
}

size_t CoordinatorChoice::PreferredIndex(size_t slice, size_t count) const {
  const std::string& self = this->options.self.str();
  return XXH64(self.data(), self.size(), ~uint64_t{slice}) % count;
}

std::span<const EntryHostRecord>
CoordinatorChoice::HostsOf(const ZoneId& zone_id, size_t slice, size_t slices) {
  const auto found = this->zones.find(zone_id);
  if (found == this->zones.end()) {
    return {};
  }
  Zone& zone = found->second;
  const size_t replicas = this->ReplicaCount(zone.hosts.size(), slices);
  if (replicas == 0) {
    return {};
  }
  std::vector<EntryHostRecord>& chosen = zone.chosen[{slice, replicas}];
  if (chosen.empty()) {
    chosen = TopRanked(zone.hosts, slice, replicas);
  }
  return chosen;
}

}  // namespace knapweedroad
