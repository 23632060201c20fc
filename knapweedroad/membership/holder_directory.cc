#include "knapweedroad/membership/holder_directory.h"

#include <utility>

#include "knapweedroad/membership/heartbeat.h"

namespace knapweedroad {

void HolderDirectory::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  this->DropHost(heartbeat.host);
  for (const HeldTarget& held : heartbeat.held) {
    this->claims[held.target][heartbeat.host] = {
        .isolated = held.isolated,
        .held_since = now - held.held_for,
        .heard_at = now};
  }
}

void HolderDirectory::Drop(const TargetId& target, const HostId& host) {
  const auto found = this->claims.find(target);
  if (found != this->claims.end()) {
    found->second.erase(host);
  }
}

void HolderDirectory::DropHost(const HostId& host) {
  for (auto& [target, by_host] : this->claims) {
    by_host.erase(host);
  }
  std::erase_if(this->claims,
                [](const auto& item) { return item.second.empty(); });
}

std::optional<HostId> HolderDirectory::HolderOf(const TargetId& target,
                                                TimePoint now) const {
  const auto found = this->claims.find(target);
  if (found == this->claims.end()) {
    return std::nullopt;
  }
  const auto rank = [](const Claim& claim) {
    return std::pair(!claim.isolated, claim.held_since);
  };
  const std::pair<const HostId, Claim>* best = nullptr;
  for (const auto& item : found->second) {
    if (now - item.second.heard_at >= this->options.claim_time) {
      continue;
    }
    if (best == nullptr || rank(best->second) < rank(item.second)) {
      best = &item;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->first);
}

}  // namespace knapweedroad
