#include "knapweedroad/admission/cold_start_ramp.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

ColdStartRamp MakeReadyRamp(uint32_t slots) {
  ColdStartRamp ramp({.slots = slots, .cold_slots = 1});
  ramp.OnReport(true, TimePoint{});
  return ramp;
}

// Records successful answers, 40 ms apart. Returns the time of the last one.
TimePoint FeedAnswers(ColdStartRamp& ramp,
                      int answers,
                      Duration latency,
                      TimePoint now) {
  for (int i = 0; i < answers; ++i) {
    now += milliseconds(40);
    ramp.OnSuccess(latency, ramp.epoch(), now);
  }
  return now;
}

Test(ColdStartRamp, StartsColdAndRisesOncePerWindow) {
  ColdStartRamp ramp = MakeReadyRamp(3);
  cr_assert_eq(ramp.limit(), 1u);
  TimePoint now = FeedAnswers(ramp, 8, milliseconds(20), TimePoint{});
  cr_assert_eq(ramp.limit(), 2u);
  now = FeedAnswers(ramp, 8, milliseconds(20), now);
  cr_assert_eq(ramp.limit(), 3u);
  FeedAnswers(ramp, 80, milliseconds(20), now);
  cr_assert_eq(ramp.limit(), 3u);
}

// A target becomes cold under load and reports it. Quick answers to requests
// that it received while it was warm still arrive. If they counted, the target
// would get its full load back within one window and be overloaded.
Test(ColdStartRamp, AnswersFromBeforeTheResetDoNotRaiseTheLimit) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  TimePoint now = FeedAnswers(ramp, 8, milliseconds(20), TimePoint{});
  const uint64_t old_epoch = ramp.epoch();
  ramp.ResetToCold(now);
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(40);
    ramp.OnSuccess(milliseconds(20), old_epoch, now);
  }
  cr_assert_eq(ramp.limit(), 1u);
}

Test(ColdStartRamp, StaysColdWhileTheTargetReportsCold) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  ramp.OnReport(false, TimePoint{});
  FeedAnswers(ramp, 100, milliseconds(20), TimePoint{});
  cr_assert_eq(ramp.limit(), 1u);
}

// A target becomes cold and sheds a request. A "ready" report that it sent
// before that arrives afterwards, and its quick answers under the light load
// look warm. If the report counted, the next raise would overload the target
// again.
Test(ColdStartRamp, ReadyReportFromBeforeTheResetIsIgnored) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  TimePoint now = FeedAnswers(ramp, 8, milliseconds(20), TimePoint{});
  ramp.ResetToCold(now);
  ramp.OnReport(true, now + milliseconds(900));
  now = FeedAnswers(ramp, 50, milliseconds(20), now);
  cr_assert_eq(ramp.limit(), 1u);
  ramp.OnReport(true, now);
  FeedAnswers(ramp, 16, milliseconds(20), now);
  cr_assert_eq(ramp.limit(), 2u);
}

Test(ColdStartRamp, ReadyReportAfterAColdReportCounts) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  ramp.ResetOnColdReport(TimePoint{});
  ramp.OnReport(true, TimePoint(milliseconds(10)));
  FeedAnswers(ramp, 16, milliseconds(20), TimePoint{});
  cr_assert_eq(ramp.limit(), 2u);
}

Test(ColdStartRamp, FirstReportAfterARestartCounts) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  const TimePoint now = FeedAnswers(ramp, 8, milliseconds(20), TimePoint{});
  ramp.OnTargetRestart(now);
  cr_assert_eq(ramp.limit(), 1u);
  ramp.OnReport(true, now);
  FeedAnswers(ramp, 16, milliseconds(20), now);
  cr_assert_eq(ramp.limit(), 2u);
}

// A target always reports "ready", but sheds each time the limit reaches its
// full slots. The second raise must need at least twice as many answers as the
// first.
Test(ColdStartRamp, EachResetDelaysTheNextRaise) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  TimePoint now{};
  int answers[2] = {0, 0};
  for (int& count : answers) {
    for (; ramp.limit() == 1; ++count) {
      ramp.OnReport(true, now);
      now = FeedAnswers(ramp, 1, milliseconds(20), now);
    }
    ramp.ResetToCold(now);
    now += std::chrono::seconds(1);
  }
  cr_assert_geq(answers[1], 2 * answers[0]);
}

Test(ColdStartRamp, ResetsOnAWindowFarAboveTheBaseline) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  TimePoint now = FeedAnswers(ramp, 80, milliseconds(20), TimePoint{});
  cr_assert_eq(ramp.limit(), 2u);
  now = FeedAnswers(ramp, 8, milliseconds(200), now);
  cr_assert_eq(ramp.limit(), 1u);
}

Test(ColdStartRamp, SlowAnswersDoNotRaiseTheLimit) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  TimePoint now = FeedAnswers(ramp, 80, milliseconds(20), TimePoint{});
  ramp.ResetToCold(now);
  FeedAnswers(ramp, 16, milliseconds(60), now);
  cr_assert_eq(ramp.limit(), 1u);
}

Test(ColdStartRamp, OneSlowAnswerInAWindowHasNoEffect) {
  ColdStartRamp ramp = MakeReadyRamp(2);
  TimePoint now = FeedAnswers(ramp, 80, milliseconds(20), TimePoint{});
  for (int round = 0; round < 10; ++round) {
    now = FeedAnswers(ramp, 1, milliseconds(400), now);
    now = FeedAnswers(ramp, 7, milliseconds(20), now);
    cr_assert_eq(ramp.limit(), 2u);
  }
}

}  // namespace
}  // namespace knapweedroad
