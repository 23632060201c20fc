#include "knapweedroad/membership/holder_directory.h"

#include <utility>

#include "knapweedroad/membership/heartbeat.h"

namespace knapweedroad {

void HolderDirectory::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  this->RemoveHost(heartbeat.host);
  for (const HeldTarget& held : heartbeat.held_targets) {
    this->claims[held.target][heartbeat.host] = {
        .isolated = held.isolated,
        .held_since = now - held.held_for,
        .received_at = now};
  }
}

void HolderDirectory::RemoveClaim(const TargetId& target, const HostId& host) {
  const auto found = this->claims.find(target);
  if (found != this->claims.end()) {
    found->second.erase(host);
  }
}

void HolderDirectory::RemoveHost(const HostId& host) {
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
  const std::pair<const HostId, Claim>* preferred = nullptr;
  for (const auto& item : found->second) {
    if (now - item.second.received_at >= this->options.claim_timeout) {
      continue;
    }
    if (preferred == nullptr || rank(preferred->second) < rank(item.second)) {
      preferred = &item;
    }
  }
  return preferred == nullptr ? std::nullopt : std::optional(preferred->first);
}

}  // namespace knapweedroad
