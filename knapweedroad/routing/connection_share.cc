#include "knapweedroad/routing/connection_share.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

// The share of a target's connections that is divided among the hosts. The rest
// is reserved for health checks, restarting hosts and hosts that aren't on the
// list yet.
constexpr double kUsableShare = 0.8;
// A host list that changed more recently than kListSettleTime may lack half of
// the hosts: after a power failure hosts reach the control hosts over a second
// or two. Until then a host holds at most kSettlingLimit connections per
// target.
constexpr size_t kSettlingLimit = 2;
constexpr Duration kListSettleTime = std::chrono::milliseconds(1500);
// Hosts that were removed from the list may still hold their connections, or
// return, for this long.
constexpr Duration kRemovedHostRetention = std::chrono::seconds(10);

}  // namespace

void ConnectionShare::SetHosts(std::vector<HostId> next, TimePoint now) {
  if (next == this->listed) {
    return;
  }
  const bool is_recent =
      this->changed_at && now - *this->changed_at < kRemovedHostRetention;
  this->previous_count =
      is_recent ? std::max(this->previous_count, this->listed.size())
                : this->listed.size();
  this->changed_at = now;
  this->listed = std::move(next);
  ++this->list_revision;
}

size_t ConnectionShare::host_count() const {
  return std::max<size_t>({this->listed.size(), this->previous_count, 1});
}

bool ConnectionShare::IsListSettling(TimePoint now) const {
  return !this->changed_at || now - *this->changed_at < kListSettleTime;
}

// A host that has just started and lists few others opens only one or two
// connections. If every host opened as many as a single host may, targets would
// reset the connections above their limit, including those of health checks.
size_t ConnectionShare::MaxPerTarget(size_t max_connections,
                                     TimePoint now) const {
  const double quota = static_cast<double>(max_connections) * kUsableShare /
                       static_cast<double>(this->host_count());
  const auto limit = std::max<size_t>(1, static_cast<size_t>(quota));
  return this->IsListSettling(now) ? std::min(limit, kSettlingLimit) : limit;
}

size_t ConnectionShare::SubsetSize(size_t targets,
                                   size_t max_connections) const {
  const double connections = static_cast<double>(targets * max_connections) *
                             kUsableShare /
                             static_cast<double>(this->host_count());
  return std::clamp<size_t>(static_cast<size_t>(connections), 1, targets);
}

}  // namespace knapweedroad
