#include "knapweedroad/registry/control_host_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "knapweedroad/registry/control_host_selection.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
const HostId kSelf("control-d");
const std::vector<std::string> kOtherZones = {"a", "b", "c"};

HostId ControlHost(const std::string& zone) {
  return HostId("control-" + zone);
}

// Simulates calls among control hosts in virtual time: each is called, and the
// quorum queried, several times a second.
void SimulateCalls(ControlHostTable& table,
                   const std::vector<std::string>& responsive,
                   bool has_quorum,
                   TimePoint from,
                   TimePoint to) {
  for (TimePoint now = from; now < to; now += milliseconds(300)) {
    for (const std::string& zone : kOtherZones) {
      if (std::ranges::find(responsive, zone) != responsive.end()) {
        table.OnReply(ControlHost(zone), {.zone = ZoneId(zone)}, now);
      } else {
        table.OnFailure(ControlHost(zone), now);
      }
    }
    if (has_quorum) {
      table.OnQuorum(now);
    }
  }
}

ControlHostTable StartedTable() {
  ControlHostTable table({.self = kSelf, .started = kStart});
  SimulateCalls(table, kOtherZones, true, kStart, kStart + seconds(10));
  return table;
}

// Guards against followers that follow three control hosts although one is
// enough.
Test(control_host_table, has_a_full_view_while_all_hosts_answer) {
  const ControlHostTable table = StartedTable();
  cr_expect(table.HasFullView(kStart + seconds(10)));
  cr_expect(table.Live(kStart + seconds(10)).size() == 3);
}

// Guards against a host that treats the few hosts discovered right after its
// start as all of them.
Test(control_host_table, has_no_full_view_right_after_start) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  SimulateCalls(table, kOtherZones, true, kStart, kStart + seconds(1));
  cr_expect(not table.HasFullView(kStart + seconds(1)));
}

// Guards against stale information while one control host is unreachable.
Test(control_host_table, lost_host_ends_the_full_view) {
  ControlHostTable table = StartedTable();
  SimulateCalls(table, {"a", "b"}, true, kStart + seconds(10),
                kStart + seconds(12));
  cr_expect(not table.HasFullView(kStart + seconds(12)));
  cr_expect(table.DescribeUnreachable(kStart + seconds(12)) == "control-c");
}

// Guards against a decommissioned host that makes all others follow three
// control hosts permanently.
Test(control_host_table, removed_host_stops_counting_as_missing) {
  ControlHostTable table = StartedTable();
  SimulateCalls(table, {"a", "b"}, true, kStart + seconds(10),
                kStart + seconds(25));
  cr_expect(table.HasFullView(kStart + seconds(25)));
}

// Guards against a full view while other hosts still reach a control host that
// this one does not.
Test(control_host_table,
     unreachable_host_that_others_mention_counts_as_missing) {
  ControlHostTable table = StartedTable();
  for (TimePoint now = kStart + seconds(10); now < kStart + seconds(25);
       now += milliseconds(300)) {
    SimulateCalls(table, {"a", "b"}, true, now, now + milliseconds(300));
    table.OnMentioned(ControlHost("c"), ZoneId("c"), now);
  }
  cr_expect(not table.HasFullView(kStart + seconds(25)));
}

// Guards against retrying a failed host every few milliseconds.
Test(control_host_table, failed_host_is_avoided_until_the_backoff_ends) {
  ControlHostTable table = StartedTable();
  const TimePoint now = kStart + seconds(10);
  cr_expect(table.OnFailure(ControlHost("a"), now));
  cr_expect(not table.OnFailure(ControlHost("a"), now));
  cr_expect(table.Candidate(ControlHost("a"), now).failed_recently);
  cr_expect(
      not table.Candidate(ControlHost("a"), now + seconds(2)).failed_recently);
}

// Guards against a host that returns again and again to a control host that
// answers its calls but can't confirm anything.
Test(control_host_table, host_is_unconfirmed_until_it_confirms) {
  ControlHostTable table = StartedTable();
  const TimePoint now = kStart + seconds(10);
  cr_expect(not table.Candidate(ControlHost("a"), now).is_unconfirmed);
  table.OnConfirmation(ControlHost("a"), false, now);
  SimulateCalls(table, {"a", "b"}, true, now, now + seconds(5));
  cr_expect(table.Candidate(ControlHost("a"), now).is_unconfirmed);
  cr_expect(not table.Candidate(ControlHost("b"), now).is_unconfirmed);
  table.OnConfirmation(ControlHost("a"), true, now);
  cr_expect(not table.Candidate(ControlHost("a"), now).is_unconfirmed);
}

// Guards against a host that trusts a confirmation of long ago more than a
// control host that was never asked.
Test(control_host_table, confirmation_counts_for_a_short_time) {
  ControlHostTable table = StartedTable();
  const TimePoint now = kStart + seconds(10);
  cr_expect(not table.Candidate(ControlHost("a"), now).is_confirmed);
  table.OnConfirmation(ControlHost("a"), true, now);
  cr_expect(table.Candidate(ControlHost("a"), now + seconds(1)).is_confirmed);
  cr_expect(
      not table.Candidate(ControlHost("a"), now + seconds(2)).is_confirmed);
}

}  // namespace
}  // namespace knapweedroad
