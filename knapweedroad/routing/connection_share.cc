#include "knapweedroad/routing/connection_share.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

// Part of a target's connections that hosts plan with; the rest is for health
// questions, hosts that restart, and hosts that aren't known yet.
constexpr double kUsableShare = 0.8;
// A list of hosts that changed less than this ago may be half of it: after a
// loss of power all hosts find control within a second or two.
constexpr size_t kSettlingLimit = 2;
constexpr Duration kListSettleTime = std::chrono::milliseconds(1500);
// Hosts that left the list may be back, and hold their connections, for this.
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
}

size_t ConnectionShare::host_count() const {
  return std::max<size_t>({this->listed.size(), this->previous_count, 1});
}

bool ConnectionShare::IsListSettling(TimePoint now) const {
  return !this->changed_at || now - *this->changed_at < kListSettleTime;
}

// A host that has just started and knows few others takes one or two
// connections: if all took what is due to a lone host, targets would reset what
// is over their cap, health questions included.
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
