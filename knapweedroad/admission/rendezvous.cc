#include "knapweedroad/admission/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {
namespace {

uint64_t Score(const TargetId& target, const HostId& host) {
  const uint64_t seed = XXH64(host.str().data(), host.str().size(), 0);
  return XXH64(target.str().data(), target.str().size(), seed);
}

// Returns the first host by name of the zone that follows `zone` by name; the
// first zone follows the last. Null if there is no other zone.
const PeerSettings* FindWitness(const ZoneId& zone,
                                std::span<const PeerSettings> hosts) {
  const auto sort_key = [&](const PeerSettings& peer) {
    return std::tuple(peer.zone < zone, peer.zone, peer.name);
  };
  const PeerSettings* first = nullptr;
  for (const PeerSettings& peer : hosts) {
    if (peer.zone == zone) {
      continue;
    }
    if (first == nullptr || sort_key(peer) < sort_key(*first)) {
      first = &peer;
    }
  }
  return first;
}

}  // namespace

std::vector<HostId> RendezvousOrder(const TargetId& target,
                                    std::span<const HostId> hosts) {
  std::vector<std::pair<uint64_t, HostId>> scored_hosts;
  scored_hosts.reserve(hosts.size());
  for (const HostId& host : hosts) {
    scored_hosts.emplace_back(Score(target, host), host);
  }
  std::sort(scored_hosts.begin(), scored_hosts.end(), std::greater<>());
  std::vector<HostId> order;
  order.reserve(scored_hosts.size());
  for (auto& [score, host] : scored_hosts) {
    order.push_back(std::move(host));
  }
  return order;
}

std::vector<HostId> HostsOfZone(const ZoneId& zone,
                                std::span<const PeerSettings> hosts) {
  std::vector<HostId> names;
  for (const PeerSettings& peer : hosts) {
    if (peer.zone == zone) {
      names.push_back(peer.name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<HostId> LeaseVoters(const ZoneId& zone,
                                std::span<const PeerSettings> hosts) {
  std::vector<HostId> voters = HostsOfZone(zone, hosts);
  voters.resize(std::min(voters.size(), kMaxZoneVoters));
  const PeerSettings* witness = FindWitness(zone, hosts);
  if (voters.size() % 2 == 0 && witness != nullptr) {
    voters.push_back(witness->name);
  }
  return voters;
}

}  // namespace knapweedroad
