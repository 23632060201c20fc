#include "knapweedroad/edge/leaving_schedule.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kTold{seconds(1000)};

// Requests come to a leaving host until its end, where a zone has too few
// others; those that it can't answer any more are cut while targets run them.
Test(leaving_schedule, no_request_is_taken_late_that_may_outlive_the_process) {
  const LeavingSchedule schedule({.told_at = kTold, .grace = seconds(6)});
  cr_expect(schedule.MayTake(kTold + milliseconds(2900), seconds(60)));
  cr_expect(schedule.MayTake(kTold + milliseconds(3100), seconds(2)));
  cr_expect(!schedule.MayTake(kTold + milliseconds(3100), seconds(3)));
  cr_expect(schedule.MayTake(kTold + milliseconds(5000), milliseconds(400)));
  cr_expect(!schedule.MayTake(kTold + milliseconds(5000), milliseconds(800)));
  for (Duration at = seconds(3); at < seconds(6); at += milliseconds(50)) {
    for (Duration longest = milliseconds(50); longest < seconds(4);
         longest += milliseconds(50)) {
      if (schedule.MayTake(kTold + at, longest)) {
        cr_expect(kTold + at + longest <= schedule.answer_by());
      }
    }
  }
  // Nor one that is known to last too long, however early it comes.
  cr_expect(schedule.CanEnd(kTold + milliseconds(2400), seconds(3)));
  cr_expect(!schedule.CanEnd(kTold + milliseconds(2600), seconds(3)));
  cr_expect(schedule.answer_by() < schedule.end_by());
  cr_expect(schedule.end_by() < kTold + seconds(6));
}

}  // namespace
}  // namespace knapweedroad
