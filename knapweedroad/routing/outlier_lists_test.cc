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

// Guards against hosts that avoid a target for good after the control host that
// listed it has gone.
Test(outlier_lists, the_list_of_a_silent_control_host_counts_no_longer) {
  OutlierLists lists;
  cr_expect(lists.Update(kControl, Outliers(), kNow));
  cr_expect(lists.ExpireLists(kNow + seconds(5)));
  cr_expect(lists.WorstByTarget().empty());
}

// Guards against targets in trouble that are used again because their control
// host stood still, and then said that nothing has changed.
Test(outlier_lists, the_list_of_one_that_replies_again_still_holds) {
  OutlierLists lists;
  lists.Update(kControl, Outliers(), kNow);
  lists.ExpireLists(kNow + seconds(5));
  cr_expect(lists.Update(kControl, std::nullopt, kNow + seconds(6)));
  cr_expect(lists.WorstByTarget().contains(kTarget));
}

}  // namespace
}  // namespace knapweedroad
