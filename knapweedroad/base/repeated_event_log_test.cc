#include "knapweedroad/base/repeated_event_log.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/base/log_line.h"

namespace knapweedroad {
namespace {

using std::chrono::seconds;

// A list that changed last within the interval stayed in the log as it was
// before, until it changed again.
Test(repeated_event_log,
     the_newest_state_is_written_once_the_interval_is_over) {
  std::vector<std::string> lines;
  LogLine::SetSink([&](std::string_view line) { lines.emplace_back(line); });
  int state = 1;
  RepeatedEventLog log(
      {.event = "list_changed",
       .interval = seconds(30),
       .describe = [&](LogLine& line) { line.Add("state", state); }});
  const TimePoint start{};
  log.OnEvent(start);
  state = 2;
  log.OnEvent(start + seconds(1));
  state = 3;
  log.OnEvent(start + seconds(2));
  log.Tick(start + seconds(29));
  cr_assert(lines.size() == 1);
  cr_expect(lines[0].ends_with("event=list_changed state=1 left_out=0"));
  log.Tick(start + seconds(30));
  cr_assert(lines.size() == 2);
  cr_expect(lines[1].ends_with("event=list_changed state=3 left_out=2"));
  log.Tick(start + seconds(90));
  cr_expect(lines.size() == 2);
  LogLine::SetSink(nullptr);
}

}  // namespace
}  // namespace knapweedroad
