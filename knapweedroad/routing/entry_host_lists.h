// Combines the lists of entry hosts from the control hosts that this host
// follows.
//
//   EntryHostLists lists;
//   if (lists.Update(control_host, std::move(list), now)) Use(lists.All());

#ifndef KNAPWEEDROAD_ROUTING_ENTRY_HOST_LISTS_H_
#define KNAPWEEDROAD_ROUTING_ENTRY_HOST_LISTS_H_

#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/entry_host_record.h"
#include "knapweedroad/routing/lists_by_control_host.h"

namespace knapweedroad {

// Entry hosts divide shared limits by their number. A control host that is cut
// off from the others lists only the entry hosts that call it, so its list
// alone would make each share too large. All() is therefore the union of all
// active lists.
class EntryHostLists {
 public:
  // Records a reply of the control host at `now`. `hosts` replaces its previous
  // list; if absent, the previous list stays valid. Returns whether All() has
  // changed.
  bool Update(const HostId& control_host,
              std::optional<std::vector<EntryHostRecord>> hosts,
              TimePoint now);

  // Deactivates the lists of control hosts that have stopped replying. While no
  // list is active, All() keeps its value. Returns whether All() has changed.
  // Must be called periodically.
  bool ExpireLists(TimePoint now);

  // Returns each listed entry host once, ordered by id; empty until the first
  // list with a host.
  const std::vector<EntryHostRecord>& All() const { return this->all; }

 private:
  // Recomputes `all`. Returns whether it has changed.
  bool MergeLists();

  ListsByControlHost<EntryHostRecord> lists;
  std::vector<EntryHostRecord> all;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ENTRY_HOST_LISTS_H_
