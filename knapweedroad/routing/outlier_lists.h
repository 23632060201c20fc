// Which targets are outliers, as the control hosts of this host's zone list
// them: each sends its whole list, and one that falls silent is forgotten.
//
//   OutlierLists lists;
//   if (lists.Learn(control_host, std::move(outliers), now)) Apply(lists);

#ifndef KNAPWEEDROAD_ROUTING_OUTLIER_LISTS_H_
#define KNAPWEEDROAD_ROUTING_OUTLIER_LISTS_H_

#include <map>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_outcomes.h"

namespace knapweedroad {

class OutlierLists {
 public:
  // Replaces what the control host listed before; nothing: that still holds.
  // True: Worst() may differ.
  bool Learn(const HostId& control_host,
             std::optional<std::vector<TargetOutlier>> outliers,
             TimePoint now);

  // Drops the lists of control hosts that no longer reply. True: there were.
  bool ForgetOld(TimePoint now);

  // Each listed target once. The worst that any control host says counts: one
  // that has just started has heard little yet.
  std::map<TargetId, TargetOutlier> Worst() const;

 private:
  struct List {
    std::vector<TargetOutlier> outliers;
    TimePoint heard;
  };

  std::map<HostId, List> lists;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_OUTLIER_LISTS_H_
