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

Test(outcome_recorder, each_control_host_hears_everything_once) {
  OutcomeRecorder tally;
  cr_expect(tally.Take(kFirst, kStart).empty());
  cr_expect(tally.Take(kSecond, kStart).empty());
  tally.Count({.target = kTarget, .answered = 1});
  tally.Count({.target = kTarget, .failed = 1});
  const auto first = tally.Take(kFirst, kStart + seconds(1));
  cr_assert_eq(first.size(), 1);
  cr_expect_eq(first[0].answered, 1);
  cr_expect_eq(first[0].failed, 1);
  cr_expect(tally.Take(kFirst, kStart + seconds(1)).empty());
  cr_expect_eq(tally.Take(kSecond, kStart + seconds(1)).size(), 1);
}

// At 2,000 hosts each asks every target hundreds of times a second. Reports
// would cost more than a host may spend on control, and tell nobody anything.
Test(outcome_recorder, what_a_host_knows_by_itself_is_not_reported) {
  OutcomeRecorder tally;
  tally.Take(kFirst, kStart);
  for (int i = 0; i < 200; ++i) {
    tally.Count({.target = kTarget, .answered = 1});
  }
  tally.Count({.target = TargetId("rare"), .failed = 1});
  const auto report = tally.Take(kFirst, kStart + seconds(1));
  cr_assert_eq(report.size(), 1);
  cr_expect_eq(report[0].target, TargetId("rare"));
}

// A host was cut off from a control host, and from targets as well. What it
// saw meanwhile would make sound targets look bad once the cut has healed.
Test(outcome_recorder, what_could_not_be_reported_in_time_is_dropped) {
  OutcomeRecorder tally;
  tally.Take(kFirst, kStart);
  tally.Count({.target = kTarget, .failed = 50});
  cr_expect(tally.Take(kFirst, kStart + seconds(5)).empty());
}

Test(outcome_recorder, a_report_is_bounded_and_the_rest_comes_next) {
  OutcomeRecorder tally;
  tally.Take(kFirst, kStart);
  for (int i = 0; i < 200; ++i) {
    tally.Count({.target = TargetId("t" + std::to_string(i)), .answered = 1});
  }
  const size_t first = tally.Take(kFirst, kStart + milliseconds(100)).size();
  const size_t second = tally.Take(kFirst, kStart + milliseconds(200)).size();
  const size_t third = tally.Take(kFirst, kStart + milliseconds(300)).size();
  const size_t fourth = tally.Take(kFirst, kStart + milliseconds(400)).size();
  cr_expect_eq(first, 64);
  cr_expect_eq(first + second + third + fourth, 200);
}

}  // namespace
}  // namespace knapweedroad
