// Logs an event that repeats: at once if it is rare, and else the newest state
// once an interval.
//
//   RepeatedEventLog log({.event = "list_changed",
//                         .interval = std::chrono::seconds(30),
//                         .describe = [&](LogLine& line) { ... }});
//   log.OnEvent(now);   // at each event
//   log.Tick(now);      // from time to time

#ifndef KNAPWEEDROAD_BASE_REPEATED_EVENT_LOG_H_
#define KNAPWEEDROAD_BASE_REPEATED_EVENT_LOG_H_

#include <functional>
#include <string>

#include "knapweedroad/base/log_limit.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LogLine;

struct RepeatedEventLogOptions {
  std::string event;
  // At most one line in this time.
  Duration interval;
  // Adds pairs that tell the state at the time of writing.
  std::function<void(LogLine& line)> describe;
};

class RepeatedEventLog {
 public:
  explicit RepeatedEventLog(RepeatedEventLogOptions options);

  // Writes a line at level info, or counts the event as left out.
  void OnEvent(TimePoint now);

  // Writes a line if events were left out and the interval is over, so that the
  // log ends with the newest state.
  void Tick(TimePoint now);

 private:
  RepeatedEventLogOptions options;
  LogLimit limit;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_REPEATED_EVENT_LOG_H_
