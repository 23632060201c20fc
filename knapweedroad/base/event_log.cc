#include "knapweedroad/base/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

// A write to a full pipe would block every request of the process. A pipe that
// is writable takes at least this many bytes.
constexpr size_t kPipeBytes = 4096;

size_t WriteToStandardOutput(std::string_view bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    pollfd ask{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&ask, 1, 0) <= 0 || (ask.revents & POLLOUT) == 0) {
      break;
    }
    const size_t piece = std::min(kPipeBytes, bytes.size() - written);
    const ssize_t result = write(STDOUT_FILENO, bytes.data() + written, piece);
    if (result <= 0) {
      break;
    }
    written += static_cast<size_t>(result);
  }
  return written;
}

}  // namespace

EventLog::EventLog(EventLogOptions options) : options(std::move(options)) {
  if (!this->options.write) {
    this->options.write = WriteToStandardOutput;
  }
}

EventLog::~EventLog() {
  this->Flush(this->second + std::chrono::seconds(1));
}

void EventLog::Append(std::string_view line) {
  this->buffer += line;
  this->buffer += '\n';
}

void EventLog::Write(std::string_view line, TimePoint now) {
  if (now - this->second >= std::chrono::seconds(1)) {
    this->second = now;
    this->lines = 0;
  }
  const bool fits =
      this->buffer.size() + line.size() < this->options.buffer_bytes;
  if (!fits || this->lines >= this->options.lines_a_second) {
    ++this->newly_dropped;
    ++this->all_dropped;
    return;
  }
  ++this->lines;
  this->Append(line);
}

void EventLog::Flush(TimePoint now) {
  if (this->newly_dropped > 0 &&
      now - this->second >= std::chrono::seconds(1)) {
    this->Append("event=log_lines_left_out count=" +
                 std::to_string(std::exchange(this->newly_dropped, 0)));
  }
  if (!this->buffer.empty()) {
    this->buffer.erase(0, this->options.write(this->buffer));
  }
}

}  // namespace knapweedroad
