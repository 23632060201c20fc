#include <criterion/criterion.h>

#include <string>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/control_host_table.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
const HostId kSelf("control-d");

void AnswerAll(ControlHostTable& table, TimePoint from, TimePoint to) {
  for (TimePoint now = from; now < to; now += milliseconds(300)) {
    for (const char* const zone : {"a", "b", "c"}) {
      const HostId host(std::string("control-") + zone);
      table.OnReply(host, {.zone = ZoneId(zone), .hears_all = true}, now);
    }
    table.OnQuorum(now);
  }
}

void FailAll(ControlHostTable& table, TimePoint from, TimePoint to) {
  for (TimePoint now = from; now < to; now += milliseconds(300)) {
    for (const char* const zone : {"a", "b", "c"}) {
      table.OnFailure(HostId(std::string("control-") + zone), now);
    }
  }
}

// Guards against entry hosts that follow a cut off control host alone, and go
// by an old configuration until the cut heals.
Test(control_host_cut, a_host_cut_off_from_all_others_never_hears_all) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  const TimePoint cut = kStart + seconds(10);
  AnswerAll(table, kStart, cut);
  cr_expect(table.HearsAll(cut));
  for (int second = 3; second <= 300; second += 3) {
    FailAll(table, cut + seconds(second - 3), cut + seconds(second));
    cr_expect(not table.HearsAll(cut + seconds(second)), "%d s after the cut",
              second);
  }
}

// Guards against the same after a restart inside the cut: the new process has
// never heard the others.
Test(control_host_cut, a_host_that_starts_cut_off_never_hears_all) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  for (int second = 1; second <= 60; ++second) {
    FailAll(table, kStart + seconds(second - 1), kStart + seconds(second));
    cr_expect(not table.HearsAll(kStart + seconds(second)),
              "%d s after the start", second);
  }
}

// Guards against the same in a minority of two that hear each other.
Test(control_host_cut, a_minority_never_hears_all) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  const TimePoint cut = kStart + seconds(10);
  AnswerAll(table, kStart, cut);
  for (TimePoint now = cut; now < cut + seconds(60); now += milliseconds(300)) {
    table.OnReply(HostId("control-a"), {.zone = ZoneId("a")}, now);
    table.OnFailure(HostId("control-b"), now);
    table.OnFailure(HostId("control-c"), now);
  }
  cr_expect(not table.HearsAll(cut + seconds(60)));
}

// Guards against hosts that never follow one control host alone again after a
// cut has healed.
Test(control_host_cut, all_are_heard_again_after_the_cut) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  const TimePoint cut = kStart + seconds(10);
  AnswerAll(table, kStart, cut);
  FailAll(table, cut, cut + seconds(30));
  AnswerAll(table, cut + seconds(30), cut + seconds(32));
  cr_expect(table.HearsAll(cut + seconds(32)));
}

}  // namespace
}  // namespace knapweedroad
