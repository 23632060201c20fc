#include "knapweedroad/registry/control_host_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "knapweedroad/registry/follow_plan.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
const HostId kSelf("control-d");
const std::vector<std::string> kOthers = {"a", "b", "c"};

HostId ControlHost(const std::string& zone) {
  return HostId("control-" + zone);
}

// Calls among control hosts, in virtual time: each is answered several times a
// second, and a quorum as often.
void Run(ControlHostTable& table,
         const std::vector<std::string>& answering,
         bool has_quorum,
         TimePoint from,
         TimePoint to) {
  for (TimePoint now = from; now < to; now += milliseconds(300)) {
    for (const std::string& zone : kOthers) {
      if (std::ranges::find(answering, zone) != answering.end()) {
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

ControlHostTable Started() {
  ControlHostTable table({.self = kSelf, .started = kStart});
  Run(table, kOthers, true, kStart, kStart + seconds(10));
  return table;
}

// Guards against followers that keep to three control hosts although one is
// enough.
Test(control_host_table, all_are_heard_while_all_answer) {
  const ControlHostTable table = Started();
  cr_expect(table.HearsAll(kStart + seconds(10)));
  cr_expect(table.Live(kStart + seconds(10)).size() == 3);
}

// Guards against a host that has just started and takes the few it has heard of
// for all.
Test(control_host_table, a_start_settles_first) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  Run(table, kOthers, true, kStart, kStart + seconds(1));
  cr_expect(not table.HearsAll(kStart + seconds(1)));
}

// Guards against stale news: one host's news is missing.
Test(control_host_table, one_that_is_lost_is_missed) {
  ControlHostTable table = Started();
  Run(table, {"a", "b"}, true, kStart + seconds(10), kStart + seconds(12));
  cr_expect(not table.HearsAll(kStart + seconds(12)));
  cr_expect(table.DescribeLost(kStart + seconds(12)) == "control-c");
}

// Guards against a host that was taken away and makes all others follow three
// for good.
Test(control_host_table, one_that_was_taken_away_is_not_missed_for_good) {
  ControlHostTable table = Started();
  Run(table, {"a", "b"}, true, kStart + seconds(10), kStart + seconds(25));
  cr_expect(table.HearsAll(kStart + seconds(25)));
}

// Guards against a host that others still hear and that this one has lost.
Test(control_host_table, one_that_others_name_is_missed) {
  ControlHostTable table = Started();
  for (TimePoint now = kStart + seconds(10); now < kStart + seconds(25);
       now += milliseconds(300)) {
    Run(table, {"a", "b"}, true, now, now + milliseconds(300));
    table.OnNamed(ControlHost("c"), ZoneId("c"), now);
  }
  cr_expect(not table.HearsAll(kStart + seconds(25)));
}

// Guards against a call every few milliseconds to a host that is down.
Test(control_host_table, one_that_failed_is_avoided_for_a_while) {
  ControlHostTable table = Started();
  const TimePoint now = kStart + seconds(10);
  cr_expect(table.OnFailure(ControlHost("a"), now));
  cr_expect(not table.OnFailure(ControlHost("a"), now));
  cr_expect(table.Candidate(ControlHost("a"), now).failed_lately);
  cr_expect(
      not table.Candidate(ControlHost("a"), now + seconds(2)).failed_lately);
}

}  // namespace
}  // namespace knapweedroad
