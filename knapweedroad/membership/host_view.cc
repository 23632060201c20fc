#include "knapweedroad/membership/host_view.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

HostView::HostView(const Options& options) : options(options) {
  for (const PeerSettings& peer : options.hosts) {
    if (peer.name != options.self) {
      Entry entry;
      entry.status.host = peer.name;
      entry.status.zone = peer.zone;
      this->entries.emplace(peer.name, entry);
    }
  }
  this->options.hosts = {};
}

bool HostView::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  const auto found = this->entries.find(heartbeat.host);
  if (found == this->entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  const auto known = std::pair(entry.status.incarnation, entry.sequence);
  const bool newer =
      std::pair(heartbeat.incarnation, heartbeat.sequence) > known;
  const bool forgotten = heartbeat.incarnation != entry.status.incarnation &&
                         now - entry.heard_at > this->options.forget_after;
  if (entry.heard && !newer && !forgotten) {
    return false;
  }
  if (heartbeat.incarnation != entry.status.incarnation) {
    entry.gone = false;
  }
  entry.status.incarnation = heartbeat.incarnation;
  entry.sequence = heartbeat.sequence;
  entry.status.configuration_version = heartbeat.configuration_version;
  entry.status.leaving = heartbeat.leaving;
  entry.status.can_hold = heartbeat.can_hold;
  entry.heard = true;
  entry.heard_at = now;
  return true;
}

void HostView::OnHeard(const HostId& host, TimePoint now) {
  const auto found = this->entries.find(host);
  if (found != this->entries.end()) {
    found->second.heard = true;
    found->second.heard_at = std::max(found->second.heard_at, now);
  }
}

void HostView::OnGoodbye(const HostId& host, uint64_t incarnation) {
  const auto found = this->entries.find(host);
  if (found != this->entries.end() &&
      incarnation >= found->second.status.incarnation) {
    found->second.gone = true;
    found->second.status.incarnation = incarnation;
  }
}

bool HostView::IsAlive(const HostId& host, TimePoint now) const {
  if (host == this->options.self) {
    return true;
  }
  const auto found = this->entries.find(host);
  return found != this->entries.end() && this->IsAlive(found->second, now);
}

bool HostView::IsAlive(const Entry& entry, TimePoint now) const {
  return entry.heard && !entry.gone &&
         now - entry.heard_at < this->options.suspect_after;
}

std::vector<HostId> HostView::LeaseCandidates(const ZoneId& zone,
                                              TimePoint now) const {
  std::vector<HostId> hosts;
  for (const auto& [host, entry] : this->entries) {
    if (entry.status.zone == zone && this->IsAlive(entry, now) &&
        entry.status.can_hold && !entry.status.leaving) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<HostStatus> HostView::Statuses(TimePoint now) const {
  std::vector<HostStatus> statuses;
  for (const auto& [host, entry] : this->entries) {
    HostStatus status = entry.status;
    status.alive = this->IsAlive(entry, now);
    if (entry.heard) {
      status.silent_for = now - entry.heard_at;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

uint32_t HostView::InForceOn(uint64_t configuration_version) const {
  return static_cast<uint32_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [&](const auto& item) {
        const uint64_t version = item.second.status.configuration_version;
        return item.second.heard && version >= configuration_version;
      }));
}

}  // namespace knapweedroad
