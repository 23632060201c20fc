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
  const auto latest = std::pair(entry.status.incarnation, entry.sequence);
  const bool newer =
      std::pair(heartbeat.incarnation, heartbeat.sequence) > latest;
  const bool incarnation_reset =
      heartbeat.incarnation != entry.status.incarnation &&
      now - entry.last_received_at > this->options.incarnation_reset_after;
  if (entry.message_received && !newer && !incarnation_reset) {
    return false;
  }
  if (heartbeat.incarnation != entry.status.incarnation) {
    entry.shut_down = false;
  }
  entry.status.incarnation = heartbeat.incarnation;
  entry.sequence = heartbeat.sequence;
  entry.status.configuration_version = heartbeat.configuration_version;
  entry.status.leaving = heartbeat.leaving;
  entry.status.can_hold_leases = heartbeat.can_hold_leases;
  entry.message_received = true;
  entry.last_received_at = now;
  return true;
}

void HostView::OnMessage(const HostId& host, TimePoint now) {
  const auto found = this->entries.find(host);
  if (found != this->entries.end()) {
    found->second.message_received = true;
    found->second.last_received_at =
        std::max(found->second.last_received_at, now);
  }
}

void HostView::OnShutdown(const HostId& host, uint64_t incarnation) {
  const auto found = this->entries.find(host);
  if (found != this->entries.end() &&
      incarnation >= found->second.status.incarnation) {
    found->second.shut_down = true;
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
  return entry.message_received && !entry.shut_down &&
         now - entry.last_received_at < this->options.suspect_after;
}

std::vector<HostId> HostView::LeaseCandidates(const ZoneId& zone,
                                              TimePoint now) const {
  std::vector<HostId> hosts;
  for (const auto& [host, entry] : this->entries) {
    if (entry.status.zone == zone && this->IsAlive(entry, now) &&
        entry.status.can_hold_leases && !entry.status.leaving) {
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
    if (entry.message_received) {
      status.silent_for = now - entry.last_received_at;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

uint32_t HostView::CountHostsWithVersion(uint64_t configuration_version) const {
  return static_cast<uint32_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [&](const auto& item) {
        const uint64_t version = item.second.status.configuration_version;
        return item.second.message_received && version >= configuration_version;
      }));
}

}  // namespace knapweedroad
