// The record of a case: one line for each thing that was sent, answered or run,
// with the milliseconds since the start. Safe to use from several threads.

#ifndef REVIEW_STAND_INS_RECORD_H_
#define REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

class Record {
 public:
  explicit Record(const std::string& path);

  void Add(const std::string& line);
  // Milliseconds from the start to `time`.
  int64_t At(TimePoint time) const;

 private:
  std::mutex mutex;
  std::ofstream out;
  TimePoint started;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_RECORD_H_
