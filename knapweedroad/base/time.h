// The clock types of every decision in the project.
//
// The core never reads a clock: the time comes in with the event.
//
//   limiter.OnReply(id, now);

#ifndef KNAPWEEDROAD_BASE_TIME_H_
#define KNAPWEEDROAD_BASE_TIME_H_

#include <chrono>

namespace knapweedroad {

// A moment of the process's monotonic clock. Never compared between hosts.
using TimePoint = std::chrono::steady_clock::time_point;

// A span of time. A plain number of milliseconds is never passed around.
using Duration = std::chrono::nanoseconds;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_TIME_H_
