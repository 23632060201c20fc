// Which targets are outliers, as the control hosts of this host's zone list
// them.
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

class OutlierLists {
 public:
  // As ListsByControlHost::Update(). True: WorstByTarget() may differ.
  bool Update(const HostId& control_host,
              std::optional<std::vector<TargetOutlier>> outliers,
              TimePoint now) {
    const bool is_changed =
        this->lists.Update(control_host, std::move(outliers), now);
    return this->ExpireLists(now) || is_changed;
  }

  // Leaves out what control hosts that no longer reply have listed. True: there
  // was something.
  bool ExpireLists(TimePoint now) { return this->lists.ExpireLists(now); }

  // Each listed target once. The worst that any control host says counts: one
  // that has just started has heard little yet.
  std::map<TargetId, TargetOutlier> WorstByTarget() const;

 private:
  ListsByControlHost<TargetOutlier> lists;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_OUTLIER_LISTS_H_
