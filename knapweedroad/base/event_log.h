// Event lines on standard output that never hold the process up.
//
//   EventLog log({.lines_a_second = 200});
//   LogLine::SetSink([&](std::string_view line) { log.Write(line, now); });
//   log.Flush(now);   // from time to time
//
// Lines wait in a bounded buffer until Flush(). What doesn't fit in the buffer
// or in the second's allowance is left out, and a line says how many were.

#ifndef KNAPWEEDROAD_BASE_EVENT_LOG_H_
#define KNAPWEEDROAD_BASE_EVENT_LOG_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct EventLogOptions {
  // Beyond these a second, lines are left out. Two hundred lines of 200 bytes
  // cost a quarter of a percent of a core.
  size_t lines_a_second = 200;
  // Lines that a reader which doesn't read makes wait at the most.
  size_t buffer_bytes = 128 << 10;
  // Takes as many bytes as it can without blocking, and says how many. The
  // default writes to standard output.
  std::function<size_t(std::string_view bytes)> write;
};

class EventLog {
 public:
  explicit EventLog(EventLogOptions options);
  // Flushes: the last lines of a process that fails to start say why.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(std::string_view line, TimePoint now);
  void Flush(TimePoint now);

  // Lines left out so far.
  size_t dropped() const { return this->all_dropped; }

 private:
  void Append(std::string_view line);

  EventLogOptions options;
  std::string buffer;
  TimePoint second;
  size_t lines = 0;
  size_t newly_dropped = 0;
  size_t all_dropped = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_EVENT_LOG_H_
