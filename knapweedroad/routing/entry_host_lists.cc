#include "knapweedroad/routing/entry_host_lists.h"

#include <utility>

namespace knapweedroad {
namespace {

// A control host replies once a second at the least; its list counts for this
// long after the last reply.
constexpr Duration kListMemory = std::chrono::seconds(4);
// The list of one that replies again by then still holds.
constexpr Duration kForgetAfter = std::chrono::minutes(10);

}  // namespace

bool EntryHostLists::Learn(const HostId& control_host,
                           std::optional<std::vector<EntryHostRecord>> hosts,
                           TimePoint now) {
  List& list = this->lists[control_host];
  const bool counted = std::exchange(list.counts, true);
  list.heard = now;
  if (hosts) {
    list.hosts = *std::move(hosts);
  }
  return (hosts || !counted) && this->Join();
}

bool EntryHostLists::ForgetOld(TimePoint now) {
  std::erase_if(this->lists, [now](const auto& entry) {
    return now - entry.second.heard > kForgetAfter;
  });
  bool is_changed = false;
  for (auto& [control_host, list] : this->lists) {
    const bool is_silent = now - list.heard > kListMemory;
    is_changed |= is_silent && std::exchange(list.counts, false);
  }
  return is_changed && this->Join();
}

bool EntryHostLists::Join() {
  std::map<HostId, const EntryHostRecord*> joined;
  for (const auto& [control_host, list] : this->lists) {
    if (!list.counts) {
      continue;
    }
    for (const EntryHostRecord& record : list.hosts) {
      joined.emplace(record.host, &record);
    }
  }
  // Hosts that lose all control hosts go on sharing what they shared.
  if (joined.empty()) {
    return false;
  }
  std::vector<EntryHostRecord> next;
  next.reserve(joined.size());
  for (const auto& [host, record] : joined) {
    next.push_back(*record);
  }
  const bool is_changed = next != this->all;
  this->all = std::move(next);
  return is_changed;
}

}  // namespace knapweedroad
