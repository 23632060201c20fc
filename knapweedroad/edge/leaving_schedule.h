// What an entry host that was told to stop still takes, and until when.
//
// The balancer goes on sending new connections until it has noticed, and longer
// where too few hosts of a zone are ready. A request that is sent to a target
// and then ended by the stop may have run: its caller can't repeat it.
//
//   LeavingSchedule schedule({.told_at = now, .grace = settings.stop_grace});
//   if (!schedule.MayTake(now, time_allowed)) Refuse();

#ifndef KNAPWEEDROAD_EDGE_LEAVING_SCHEDULE_H_
#define KNAPWEEDROAD_EDGE_LEAVING_SCHEDULE_H_

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct LeavingScheduleOptions {
  // When the termination signal came, and how long after it the kill follows.
  TimePoint told_at;
  Duration grace{};
};

class LeavingSchedule {
 public:
  explicit LeavingSchedule(LeavingScheduleOptions options);

  // Whether a request that may run for `longest` is taken now: always in the
  // first half of the grace, in which callers still come as a matter of course,
  // and then only if it ends in any case before answer_by().
  bool MayTake(TimePoint now, Duration longest) const;

  // Whether a request that runs for `expected` is answered before answer_by().
  bool CanEnd(TimePoint now, Duration expected) const;

  // When all that still runs gets its final answer.
  TimePoint answer_by() const;

  // When the process has ended at the latest.
  TimePoint end_by() const;

 private:
  LeavingScheduleOptions options;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_LEAVING_SCHEDULE_H_
