#include "knapweedroad/registry/outcome_recorder.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
const HostId kFirst("c1");
const HostId kSecond("c2");
const TargetId kTarget("t");

Test(outcome_recorder, each_control_host_gets_every_outcome_once) {
  OutcomeRecorder recorder;
  cr_expect(recorder.Take(kFirst, kStart).empty());
  cr_expect(recorder.Take(kSecond, kStart).empty());
  recorder.Count({.target = kTarget, .answered = 1});
  recorder.Count({.target = kTarget, .failed = 1});
  const auto first = recorder.Take(kFirst, kStart + seconds(1));
  cr_assert_eq(first.size(), 1);
  cr_expect_eq(first[0].answered, 1);
  cr_expect_eq(first[0].failed, 1);
  cr_expect(recorder.Take(kFirst, kStart + seconds(1)).empty());
  cr_expect_eq(recorder.Take(kSecond, kStart + seconds(1)).size(), 1);
}

// At 2,000 hosts each one queries every target hundreds of times a second.
// Guards against reports that exceed the budget for control traffic and add no
// information.
Test(outcome_recorder, targets_with_many_attempts_are_not_reported) {
  OutcomeRecorder recorder;
  recorder.Take(kFirst, kStart);
  for (int i = 0; i < 200; ++i) {
    recorder.Count({.target = kTarget, .answered = 1});
  }
  recorder.Count({.target = TargetId("rare"), .failed = 1});
  const auto report = recorder.Take(kFirst, kStart + seconds(1));
  cr_assert_eq(report.size(), 1);
  cr_expect_eq(report[0].target, TargetId("rare"));
}

// Guards against outcomes recorded during a network partition that make healthy
// targets look bad after it heals.
Test(outcome_recorder, outcomes_not_reported_in_time_are_dropped) {
  OutcomeRecorder recorder;
  recorder.Take(kFirst, kStart);
  recorder.Count({.target = kTarget, .failed = 50});
  cr_expect(recorder.Take(kFirst, kStart + seconds(5)).empty());
}

Test(outcome_recorder, report_is_bounded_and_the_rest_follows) {
  OutcomeRecorder recorder;
  recorder.Take(kFirst, kStart);
  for (int i = 0; i < 200; ++i) {
    recorder.Count(
        {.target = TargetId("t" + std::to_string(i)), .answered = 1});
  }
  const size_t first = recorder.Take(kFirst, kStart + milliseconds(100)).size();
  const size_t second =
      recorder.Take(kFirst, kStart + milliseconds(200)).size();
  const size_t third = recorder.Take(kFirst, kStart + milliseconds(300)).size();
  const size_t fourth =
      recorder.Take(kFirst, kStart + milliseconds(400)).size();
  cr_expect_eq(first, 64);
  cr_expect_eq(first + second + third + fourth, 200);
}

}  // namespace
}  // namespace knapweedroad
