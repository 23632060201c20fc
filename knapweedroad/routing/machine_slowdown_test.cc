#include "knapweedroad/routing/machine_slowdown.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

// Reports `percent` every 100 ms until `until`, with answers of the given
// relative latency.
void Report(MachineSlowdown& slowdown,
            uint32_t percent,
            double relative_latency,
            TimePoint from,
            TimePoint until) {
  for (TimePoint at = from; at < until; at += milliseconds(100)) {
    slowdown.OnReport(percent, 100, at);
    slowdown.OnLatency(relative_latency, at);
  }
}

// Guards against a change for targets that don't report the value.
Test(machine_slowdown, is_one_without_reports) {
  MachineSlowdown slowdown;
  slowdown.OnReport(0, 100, kStart);
  slowdown.OnLatency(3, kStart);
  cr_expect(slowdown.Factor(kStart) == 1);
  cr_expect(!slowdown.IsSlow(kStart));
}

// Guards against avoiding a target for longer than its machine is slow.
Test(machine_slowdown, an_old_report_counts_little) {
  MachineSlowdown slowdown;
  slowdown.OnReport(250, 100, kStart);
  cr_expect(slowdown.Factor(kStart) > 2.4);
  cr_expect(slowdown.IsSlow(kStart + milliseconds(100)));
  cr_expect(!slowdown.IsSlow(kStart + milliseconds(600)));
  cr_expect(slowdown.Factor(kStart + seconds(2)) < 1.1);
}

// Guards against counting a constant slowness twice, in the measured latency
// and in the report.
Test(machine_slowdown, a_constant_report_becomes_the_usual_value) {
  MachineSlowdown slowdown;
  Report(slowdown, 250, 1, kStart, kStart + seconds(8));
  cr_expect(slowdown.Factor(kStart + seconds(8)) < 1.15);
}

// Guards against false reports: the answers are as fast as ever.
Test(machine_slowdown, a_false_report_loses_its_weight_within_a_few_answers) {
  MachineSlowdown slowdown;
  Report(slowdown, 1000, 1, kStart, kStart + milliseconds(300));
  cr_expect(slowdown.Factor(kStart + milliseconds(200)) < 1.3);
}

// Guards against values that change ten times a second and mean nothing.
Test(machine_slowdown, reports_unrelated_to_the_latency_lose_their_weight) {
  MachineSlowdown slowdown;
  Report(slowdown, 100, 1, kStart, kStart + seconds(2));
  for (int i = 0; i < 20; ++i) {
    const TimePoint at = kStart + seconds(2) + milliseconds(100 * i);
    Report(slowdown, i % 2 == 0 ? 400 : 30, 1, at, at + milliseconds(100));
  }
  const TimePoint at = kStart + seconds(4);
  Report(slowdown, 400, 1, at, at + milliseconds(100));
  cr_expect(slowdown.Factor(at) < 1.2);
}

// Guards against a single implausible report that changes the usual value, and
// with it what all later reports mean.
Test(machine_slowdown, one_implausible_report_changes_little) {
  MachineSlowdown slowdown;
  Report(slowdown, 100, 1, kStart, kStart + seconds(2));
  slowdown.OnReport(100'000, 100, kStart + seconds(2));
  slowdown.OnReport(100, 100, kStart + milliseconds(2100));
  cr_expect(slowdown.Factor(kStart + milliseconds(2100)) > 0.85);
}

// Guards against trusting true reports too little: the answers of slow phases
// take as much longer as the target says.
Test(machine_slowdown, true_reports_keep_their_weight) {
  MachineSlowdown slowdown;
  for (int phase = 0; phase < 20; ++phase) {
    const TimePoint at = kStart + phase * milliseconds(500);
    const bool is_slow = phase % 7 == 0;
    Report(slowdown, is_slow ? 250 : 100, is_slow ? 2.1 : 0.85, at,
           at + milliseconds(500));
  }
  const TimePoint at = kStart + seconds(10);
  Report(slowdown, 250, 2.1, at, at + milliseconds(100));
  cr_expect(slowdown.Factor(at) > 1.7, "%g", slowdown.Factor(at));
}

}  // namespace
}  // namespace knapweedroad
