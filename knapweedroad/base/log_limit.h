// Bounds how often a repeated event is logged.
//
//   if (const auto left_out = this->limit.Admit(now)) {
//     LogLine("read_failed").Add("left_out", *left_out).Warning();
//   }

#ifndef KNAPWEEDROAD_BASE_LOG_LIMIT_H_
#define KNAPWEEDROAD_BASE_LOG_LIMIT_H_

#include <cstdint>
#include <optional>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LogLimit {
 public:
  // At most one line per `interval`; the first is admitted at once.
  explicit LogLimit(Duration interval) : interval(interval) {}

  // Returns the number of lines left out since the last admitted one if a line
  // may be written now, and counts this one as left out otherwise.
  std::optional<uint64_t> Admit(TimePoint now);

  // Whether lines were left out since the last admitted one and the next one
  // would be admitted.
  bool HasLeftOut(TimePoint now) const;

 private:
  bool IsLimited(TimePoint now) const;

  Duration interval;
  std::optional<TimePoint> last_admitted;
  uint64_t left_out = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_LOG_LIMIT_H_
