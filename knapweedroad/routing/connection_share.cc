#include "knapweedroad/routing/connection_share.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

// Part of a target's connections that hosts plan with; the rest is for health
// questions, hosts that restart, and hosts that aren't known yet.
constexpr double kConnectionShare = 0.8;
// A list of hosts that changed less than this ago may be half of it: after a
// loss of power all hosts find control within a second or two.
constexpr size_t kYoungCap = 2;
constexpr Duration kHostsSettle = std::chrono::milliseconds(1500);
// Hosts that left the list may be back, and hold their connections, for this.
constexpr Duration kHostsMemory = std::chrono::seconds(10);

}  // namespace

void ConnectionShare::SetHosts(std::vector<HostId> next, TimePoint now) {
  if (next == this->known) {
    return;
  }
  const bool is_recent = this->changed && now - *this->changed < kHostsMemory;
  this->before = is_recent ? std::max(this->before, this->known.size())
                           : this->known.size();
  this->changed = now;
  this->known = std::move(next);
}

size_t ConnectionShare::host_count() const {
  return std::max<size_t>({this->known.size(), this->before, 1});
}

bool ConnectionShare::IsListYoung(TimePoint now) const {
  return !this->changed || now - *this->changed < kHostsSettle;
}

// A host that has just started and knows few others takes one or two
// connections: if all took what is due to a lone host, targets would reset what
// is over their cap, health questions included.
size_t ConnectionShare::CapOf(size_t max_connections, TimePoint now) const {
  const double part = static_cast<double>(max_connections) * kConnectionShare /
                      static_cast<double>(this->host_count());
  const auto cap = std::max<size_t>(1, static_cast<size_t>(part));
  return this->IsListYoung(now) ? std::min(cap, kYoungCap) : cap;
}

size_t ConnectionShare::SubsetSize(size_t targets,
                                   size_t max_connections) const {
  const double places = static_cast<double>(targets * max_connections) *
                        kConnectionShare /
                        static_cast<double>(this->host_count());
  return std::clamp<size_t>(static_cast<size_t>(places), 1, targets);
}

}  // namespace knapweedroad
