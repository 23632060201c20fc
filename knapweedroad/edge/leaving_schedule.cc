#include "knapweedroad/edge/leaving_schedule.h"

#include <algorithm>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// Kept of the grace for ending in order, and before that for the last answers
// to leave.
constexpr Duration kEndMargin = milliseconds(300);
constexpr Duration kAnswerMargin = milliseconds(200);

}  // namespace

LeavingSchedule::LeavingSchedule(LeavingScheduleOptions options)
    : options(options) {}

bool LeavingSchedule::MayTake(TimePoint now, Duration longest) const {
  return now < this->options.told_at + this->options.grace / 2 ||
         now + longest <= this->answer_by();
}

bool LeavingSchedule::CanEnd(TimePoint now, Duration expected) const {
  return now + expected <= this->answer_by();
}

TimePoint LeavingSchedule::answer_by() const {
  return this->end_by() - kAnswerMargin;
}

TimePoint LeavingSchedule::end_by() const {
  return this->options.told_at +
         std::max(this->options.grace - kEndMargin, kAnswerMargin);
}

}  // namespace knapweedroad
