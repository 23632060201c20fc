#include "knapweedroad/routing/entry_host_lists.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint(std::chrono::hours(1));
const HostId kIsolatedControl("control-d");
const HostId kControl("control-a");

std::vector<EntryHostRecord> Hosts(int count) {
  std::vector<EntryHostRecord> hosts;
  hosts.reserve(count);
  for (int i = 0; i < count; ++i) {
    hosts.push_back({.host = HostId("entry-" + std::to_string(i))});
  }
  return hosts;
}

// Guards against an entry host that uses the whole retry budget because a
// control host that is cut off from the others lists only that entry host.
Test(entry_host_lists, the_list_of_an_isolated_control_host_hides_no_hosts) {
  EntryHostLists lists;
  cr_expect(lists.Update(kControl, Hosts(8), kNow));
  cr_expect(not lists.Update(kIsolatedControl, Hosts(1), kNow));
  cr_expect(lists.All().size() == 8);
}

// Guards against hosts that have left and are still counted.
Test(entry_host_lists, a_shorter_list_of_the_only_control_host_is_used) {
  EntryHostLists lists;
  lists.Update(kControl, Hosts(8), kNow);
  cr_expect(lists.Update(kControl, Hosts(7), kNow + seconds(1)));
  cr_expect(lists.All().size() == 7);
}

// Guards against using the list of a control host that is no longer followed.
Test(entry_host_lists, the_list_of_a_silent_control_host_expires) {
  EntryHostLists lists;
  lists.Update(kControl, Hosts(8), kNow);
  lists.Update(kIsolatedControl, Hosts(7), kNow);
  for (int i = 1; i <= 10; ++i) {
    lists.Update(kIsolatedControl, std::nullopt, kNow + milliseconds(500 * i));
  }
  cr_expect(lists.ExpireLists(kNow + seconds(5)));
  cr_expect(lists.All().size() == 7);
}

// Guards against the loss of a list whose control host paused and then reported
// that nothing has changed.
Test(entry_host_lists, an_unchanged_list_is_active_again_after_a_pause) {
  EntryHostLists lists;
  lists.Update(kControl, Hosts(8), kNow);
  lists.Update(kIsolatedControl, Hosts(1), kNow + seconds(4));
  cr_expect(lists.ExpireLists(kNow + seconds(5)));
  cr_expect(lists.All().size() == 1);
  cr_expect(lists.Update(kControl, std::nullopt, kNow + seconds(6)));
  cr_expect(lists.All().size() == 8);
}

// Guards against a host that loses all control hosts and then claims all of the
// limits that entry hosts share.
Test(entry_host_lists, the_last_list_is_kept_while_no_control_host_replies) {
  EntryHostLists lists;
  lists.Update(kControl, Hosts(8), kNow);
  cr_expect(not lists.ExpireLists(kNow + seconds(60)));
  cr_expect(lists.All().size() == 8);
}

}  // namespace
}  // namespace knapweedroad
