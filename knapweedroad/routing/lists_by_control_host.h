// Keeps the latest list of items from each control host that this host follows.
// A list is active while its control host replies.
//
//   ListsByControlHost<TargetOutlier> lists;
//   if (lists.Update(control_host, std::move(list), now)) Apply(lists);

#ifndef KNAPWEEDROAD_ROUTING_LISTS_BY_CONTROL_HOST_H_
#define KNAPWEEDROAD_ROUTING_LISTS_BY_CONTROL_HOST_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Each control host sends its whole list, or nothing if the list is unchanged.
template <typename Item>
class ListsByControlHost {
 public:
  // Records a reply of the control host at `now`. `items` replaces its previous
  // list; if absent, the previous list stays valid. Returns whether the items
  // of the active lists may have changed.
  bool Update(const HostId& control_host,
              std::optional<std::vector<Item>> items,
              TimePoint now) {
    List& list = this->lists[control_host];
    const bool was_active = std::exchange(list.is_active, true);
    list.replied_at = now;
    if (!items) {
      return !was_active;
    }
    list.items = *std::move(items);
    return true;
  }

  // Deactivates the lists of control hosts that have stopped replying. Returns
  // whether there were any. Must be called periodically.
  bool ExpireLists(TimePoint now) {
    std::erase_if(this->lists, [now](const auto& entry) {
      return now - entry.second.replied_at > kDropAfter;
    });
    bool is_changed = false;
    for (auto& [control_host, list] : this->lists) {
      const bool has_lapsed = now - list.replied_at > kActiveAfterReply;
      is_changed |= has_lapsed && std::exchange(list.is_active, false);
    }
    return is_changed;
  }

  // Calls `visit` with each item of each active list. An item on several lists
  // is visited once for each of them.
  template <typename Visit>
  void ForEach(const Visit& visit) const {
    for (const auto& [control_host, list] : this->lists) {
      if (!list.is_active) {
        continue;
      }
      for (const Item& item : list.items) {
        visit(item);
      }
    }
  }

 private:
  // How long a list stays active after the last reply of its control host,
  // which replies at least once a second.
  static constexpr Duration kActiveAfterReply = std::chrono::seconds(4);
  // How long an inactive list is kept. A control host that replies again within
  // this time may report only that nothing has changed.
  static constexpr Duration kDropAfter = std::chrono::minutes(10);

  struct List {
    std::vector<Item> items;
    TimePoint replied_at;
    bool is_active = false;
  };

  std::map<HostId, List> lists;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_LISTS_BY_CONTROL_HOST_H_
