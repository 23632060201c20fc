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
      table.OnReply(host, {.zone = ZoneId(zone), .has_full_view = true}, now);
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

// Guards against entry hosts that follow only a partitioned control host and
// use an old configuration until the partition heals.
Test(control_host_partition, isolated_host_never_has_a_full_view) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  const TimePoint partition_start = kStart + seconds(10);
  AnswerAll(table, kStart, partition_start);
  cr_expect(table.HasFullView(partition_start));
  for (int second = 3; second <= 300; second += 3) {
    FailAll(table, partition_start + seconds(second - 3),
            partition_start + seconds(second));
    cr_expect(not table.HasFullView(partition_start + seconds(second)),
              "%d s after the cut", second);
  }
}

// Guards against the same fault after a restart during the partition: the new
// process has never reached the others.
Test(control_host_partition, host_that_starts_isolated_never_has_a_full_view) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  for (int second = 1; second <= 60; ++second) {
    FailAll(table, kStart + seconds(second - 1), kStart + seconds(second));
    cr_expect(not table.HasFullView(kStart + seconds(second)),
              "%d s after the start", second);
  }
}

// Guards against the same fault in a minority of two hosts that reach each
// other.
Test(control_host_partition, minority_never_has_a_full_view) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  const TimePoint partition_start = kStart + seconds(10);
  AnswerAll(table, kStart, partition_start);
  for (TimePoint now = partition_start; now < partition_start + seconds(60);
       now += milliseconds(300)) {
    table.OnReply(HostId("control-a"), {.zone = ZoneId("a")}, now);
    table.OnFailure(HostId("control-b"), now);
    table.OnFailure(HostId("control-c"), now);
  }
  cr_expect(not table.HasFullView(partition_start + seconds(60)));
}

// Guards against hosts that keep following several control hosts after a
// partition has healed.
Test(control_host_partition, full_view_returns_after_the_partition) {
  ControlHostTable table({.self = kSelf, .started = kStart});
  const TimePoint partition_start = kStart + seconds(10);
  AnswerAll(table, kStart, partition_start);
  FailAll(table, partition_start, partition_start + seconds(30));
  AnswerAll(table, partition_start + seconds(30),
            partition_start + seconds(32));
  cr_expect(table.HasFullView(partition_start + seconds(32)));
}

}  // namespace
}  // namespace knapweedroad
