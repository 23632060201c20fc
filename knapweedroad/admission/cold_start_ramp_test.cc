#include "knapweedroad/admission/cold_start_ramp.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// Feeds clean windows, 10 ms apart an answer.
TimePoint Answer(ColdStartRamp& ramp,
                 int answers,
                 Duration latency,
                 TimePoint now) {
  for (int i = 0; i < answers; ++i) {
    now += milliseconds(40);
    ramp.OnCleanAnswer(latency, ramp.epoch(), now);
  }
  return now;
}

Test(ColdStartRamp, StartsColdAndStepsOnceAWindow) {
  ColdStartRamp ramp({.slots = 3, .cold_slots = 1, .window_answers = 8});
  cr_assert_eq(ramp.limit(), 1u);
  TimePoint now = Answer(ramp, 8, milliseconds(20), TimePoint{});
  cr_assert_eq(ramp.limit(), 2u);
  now = Answer(ramp, 8, milliseconds(20), now);
  cr_assert_eq(ramp.limit(), 3u);
  Answer(ramp, 80, milliseconds(20), now);
  cr_assert_eq(ramp.limit(), 3u);
}

// A target falls cold under load and says so. The answers to what it took
// while it was warm still come in, quick and clean; were they counted, it
// would get its full load back within one window, and fall over.
Test(ColdStartRamp, AnswersToWorkOfBeforeTheFallWarmNothing) {
  ColdStartRamp ramp({.slots = 2, .cold_slots = 1, .window_answers = 8});
  TimePoint now = Answer(ramp, 8, milliseconds(20), TimePoint{});
  const uint64_t before = ramp.epoch();
  ramp.Fall(now);
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(40);
    ramp.OnCleanAnswer(milliseconds(20), before, now);
  }
  cr_assert_eq(ramp.limit(), 1u);
}

Test(ColdStartRamp, StaysColdWhileTheTargetSaysSo) {
  ColdStartRamp ramp({.slots = 2, .cold_slots = 1});
  ramp.SetReportedCold(true);
  Answer(ramp, 100, milliseconds(20), TimePoint{});
  cr_assert_eq(ramp.limit(), 1u);
}

Test(ColdStartRamp, FallsOnAWindowFarAboveTheBaseline) {
  ColdStartRamp ramp({.slots = 2, .cold_slots = 1});
  TimePoint now = Answer(ramp, 80, milliseconds(20), TimePoint{});
  cr_assert_eq(ramp.limit(), 2u);
  now = Answer(ramp, 8, milliseconds(200), now);
  cr_assert_eq(ramp.limit(), 1u);
}

Test(ColdStartRamp, SlowAnswersAreNoStepUp) {
  ColdStartRamp ramp({.slots = 2, .cold_slots = 1});
  TimePoint now = Answer(ramp, 80, milliseconds(20), TimePoint{});
  ramp.Fall(now);
  Answer(ramp, 16, milliseconds(60), now);
  cr_assert_eq(ramp.limit(), 1u);
}

Test(ColdStartRamp, OneStragglerInAWindowChangesNothing) {
  ColdStartRamp ramp({.slots = 2, .cold_slots = 1});
  TimePoint now = Answer(ramp, 80, milliseconds(20), TimePoint{});
  for (int round = 0; round < 10; ++round) {
    now = Answer(ramp, 1, milliseconds(400), now);
    now = Answer(ramp, 7, milliseconds(20), now);
    cr_assert_eq(ramp.limit(), 2u);
  }
}

}  // namespace
}  // namespace knapweedroad
