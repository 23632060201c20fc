#include "knapweedroad/base/repeated_event_log.h"

#include <utility>

#include "knapweedroad/base/log_line.h"

namespace knapweedroad {

RepeatedEventLog::RepeatedEventLog(RepeatedEventLogOptions options)
    : options(std::move(options)), limit(this->options.interval) {}

void RepeatedEventLog::OnEvent(TimePoint now) {
  const auto left_out = this->limit.Admit(now);
  if (!left_out) {
    return;
  }
  LogLine line(this->options.event);
  this->options.describe(line);
  line.Add("left_out", *left_out).Info();
}

void RepeatedEventLog::Tick(TimePoint now) {
  if (this->limit.HasLeftOut(now)) {
    this->OnEvent(now);
  }
}

}  // namespace knapweedroad
