// Which entry hosts there are, as the control hosts that this host follows list
// them.
//
//   EntryHostLists lists;
//   if (lists.Update(control_host, std::move(list), now)) Use(lists.All());
//
// Answers the pattern of a control host that is cut off from others and lists
// only the entry hosts that call it itself: what they share is divided by too
// few.

#ifndef KNAPWEEDROAD_ROUTING_ENTRY_HOST_LISTS_H_
#define KNAPWEEDROAD_ROUTING_ENTRY_HOST_LISTS_H_

#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/entry_host_record.h"
#include "knapweedroad/routing/lists_by_control_host.h"

namespace knapweedroad {

class EntryHostLists {
 public:
  // As ListsByControlHost::Update(). True: All() has changed.
  bool Update(const HostId& control_host,
              std::optional<std::vector<EntryHostRecord>> hosts,
              TimePoint now);

  // Leaves out the lists of control hosts that no longer reply, but for the
  // last one. True: All() has changed.
  bool ExpireLists(TimePoint now);

  // Each host that any control host lists, once.
  const std::vector<EntryHostRecord>& All() const { return this->all; }

 private:
  bool MergeLists();

  ListsByControlHost<EntryHostRecord> lists;
  std::vector<EntryHostRecord> all;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ENTRY_HOST_LISTS_H_
