#include "knapweedroad/routing/entry_host_lists.h"

#include <map>
#include <utility>

namespace knapweedroad {

bool EntryHostLists::Learn(const HostId& control_host,
                           std::optional<std::vector<EntryHostRecord>> hosts,
                           TimePoint now) {
  return this->lists.Learn(control_host, std::move(hosts), now) && this->Join();
}

bool EntryHostLists::ForgetOld(TimePoint now) {
  return this->lists.ForgetOld(now) && this->Join();
}

bool EntryHostLists::Join() {
  std::map<HostId, const EntryHostRecord*> joined;
  this->lists.ForEach([&](const EntryHostRecord& record) {
    joined.emplace(record.host, &record);
  });
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
