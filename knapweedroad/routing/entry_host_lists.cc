#include "knapweedroad/routing/entry_host_lists.h"

#include <map>
#include <utility>

namespace knapweedroad {

bool EntryHostLists::Update(const HostId& control_host,
                            std::optional<std::vector<EntryHostRecord>> hosts,
                            TimePoint now) {
  return this->lists.Update(control_host, std::move(hosts), now) &&
         this->MergeLists();
}

bool EntryHostLists::ExpireLists(TimePoint now) {
  return this->lists.ExpireLists(now) && this->MergeLists();
}

bool EntryHostLists::MergeLists() {
  std::map<HostId, const EntryHostRecord*> merged;
  this->lists.ForEach([&](const EntryHostRecord& record) {
    merged.emplace(record.host, &record);
  });
  // A host that loses all control hosts keeps its previous shares of limits.
  if (merged.empty()) {
    return false;
  }
  std::vector<EntryHostRecord> next;
  next.reserve(merged.size());
  for (const auto& [host, record] : merged) {
    next.push_back(*record);
  }
  const bool is_changed = next != this->all;
  this->all = std::move(next);
  return is_changed;
}

}  // namespace knapweedroad
