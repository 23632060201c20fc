#include "knapweedroad/routing/outlier_lists.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

const TimePoint kNow = TimePoint(std::chrono::hours(1));
const HostId kControl("control-a");
const TargetId kTarget("t1");

std::vector<TargetOutlier> Outliers() {
  return {{.target = kTarget, .failed = 4, .slowdown = 1}};
}

// Guards against hosts that avoid a target permanently after the control host
// that listed it has gone.
Test(outlier_lists, the_list_of_a_silent_control_host_expires) {
  OutlierLists lists;
  cr_expect(lists.Update(kControl, Outliers(), kNow));
  cr_expect(lists.ExpireLists(kNow + seconds(5)));
  cr_expect(lists.WorstByTarget().empty());
}

// Guards against the loss of a list whose control host paused and then reported
// that nothing has changed: hosts would use the failing targets again.
Test(outlier_lists, an_unchanged_list_is_active_again_after_a_pause) {
  OutlierLists lists;
  lists.Update(kControl, Outliers(), kNow);
  lists.ExpireLists(kNow + seconds(5));
  cr_expect(lists.Update(kControl, std::nullopt, kNow + seconds(6)));
  cr_expect(lists.WorstByTarget().contains(kTarget));
}

}  // namespace
}  // namespace knapweedroad
