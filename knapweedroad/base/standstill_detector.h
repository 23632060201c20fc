// Notices that the process stood still: it was stopped, its machine was
// suspended, or it got no processor time. What it reads right after that may
// have waited for as long, and what it waited for looks late.
//
//   StandstillDetector detector;
//   detector.OnTick(BootClock::now());   // each 100 ms
//   if (detector.MayBeOld(received, patience, BootClock::now())) Reject();

#ifndef KNAPWEEDROAD_BASE_STANDSTILL_DETECTOR_H_
#define KNAPWEEDROAD_BASE_STANDSTILL_DETECTOR_H_

#include <optional>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// A tick this late means that the process stood still. Shorter pauses leave
// bytes unread for less than this.
inline constexpr Duration kLongestPause = std::chrono::milliseconds(400);

class StandstillDetector {
 public:
  // Returns whether the process stood still since the last tick.
  bool OnTick(BootTime now);

  // Whether bytes that were read at `received` may have come before a
  // standstill that ended less than `backlog` earlier, or that ended just now
  // and hasn't been noticed by a tick yet.
  bool MayBeOld(BootTime received, Duration backlog, BootTime now) const;

 private:
  std::optional<BootTime> last_tick;
  std::optional<BootTime> last_end;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_STANDSTILL_DETECTOR_H_
