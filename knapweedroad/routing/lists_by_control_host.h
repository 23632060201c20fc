// What each control host that this host follows lists of something: each tells
// its whole list, which counts while it replies.
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

template <typename Item>
class ListsByControlHost {
 public:
  // Replaces what the control host listed before; nothing: that still holds.
  // True: what counts may have changed.
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

  // Leaves out the lists of control hosts that no longer reply. True: there
  // were.
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

  // Each item of each list that counts.
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
  // A control host replies once a second at the least; its list counts for this
  // long after the last reply.
  static constexpr Duration kActiveAfterReply = std::chrono::seconds(4);
  // The list of one that replies again by then still holds: it may say that
  // nothing has changed.
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
