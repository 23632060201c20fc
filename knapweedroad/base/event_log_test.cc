#include "knapweedroad/base/event_log.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

// An operator's log reader hangs. Lines pile up in the process, the buffer
// reaches its bound, later lines are left out, and requests go on. Once the
// reader is back, a line says how much is missing.
Test(event_log, a_reader_that_hangs_costs_lines_only) {
  std::string read;
  bool hangs = true;
  EventLog log({.lines_a_second = 1000,
                .buffer_bytes = 100,
                .write = [&](std::string_view bytes) -> size_t {
                  if (hangs) {
                    return 0;
                  }
                  read += bytes;
                  return bytes.size();
                }});
  const TimePoint start{seconds(100)};
  for (int i = 0; i < 50; ++i) {
    log.Write("event=something", start);
    log.Flush(start);
  }
  cr_expect(log.dropped() == 44, "%zu", log.dropped());
  hangs = false;
  log.Flush(start + seconds(2));
  cr_expect(read.find("event=log_lines_left_out count=44") !=
            std::string::npos);
}

Test(event_log, lines_over_the_allowance_of_a_second_are_left_out) {
  std::string read;
  EventLog log({.lines_a_second = 10, .write = [&](std::string_view bytes) {
                  read += bytes;
                  return bytes.size();
                }});
  const TimePoint start{seconds(100)};
  for (int i = 0; i < 15; ++i) {
    log.Write("event=a", start);
  }
  log.Write("event=b", start + seconds(1));
  log.Flush(start + seconds(1));
  cr_expect(log.dropped() == 5);
  cr_expect(read.find("event=b") != std::string::npos);
}

// A process that fails to start ends before the first Flush(), and its log
// doesn't say why.
Test(event_log, what_still_waits_at_the_end_is_written) {
  std::string read;
  {
    EventLog log({.write = [&](std::string_view bytes) {
      read += bytes;
      return bytes.size();
    }});
    log.Write("event=control_replica_refused", TimePoint(seconds(100)));
  }
  cr_assert_str_eq(read.c_str(), "event=control_replica_refused\n");
}

}  // namespace
}  // namespace knapweedroad
