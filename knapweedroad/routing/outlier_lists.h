// Combines the lists of outlier targets, those with unusually many failures or
// high latency, from the control hosts that this host follows.
//
//   OutlierLists lists;
//   if (lists.Update(control_host, std::move(outliers), now)) Apply(lists);

#ifndef KNAPWEEDROAD_ROUTING_OUTLIER_LISTS_H_
#define KNAPWEEDROAD_ROUTING_OUTLIER_LISTS_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_outcomes.h"
#include "knapweedroad/routing/lists_by_control_host.h"

namespace knapweedroad {

// Stops using the list of a control host a few seconds after its last reply.
class OutlierLists {
 public:
  // Records a reply of the control host at `now`. `outliers` replaces its
  // previous list; if absent, the previous list stays valid. Returns whether
  // WorstByTarget() may have changed.
  bool Update(const HostId& control_host,
              std::optional<std::vector<TargetOutlier>> outliers,
              TimePoint now) {
    const bool is_changed =
        this->lists.Update(control_host, std::move(outliers), now);
    return this->ExpireLists(now) || is_changed;
  }

  // Deactivates the lists of control hosts that have stopped replying. Returns
  // whether WorstByTarget() may have changed. Must be called periodically.
  bool ExpireLists(TimePoint now) { return this->lists.ExpireLists(now); }

  // Returns each listed target with the highest failure and slowdown values
  // that any control host reports. A control host that has just started has
  // received few outcomes, so its lower values aren't used to reduce those of
  // others.
  std::map<TargetId, TargetOutlier> WorstByTarget() const;

 private:
  ListsByControlHost<TargetOutlier> lists;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_OUTLIER_LISTS_H_
