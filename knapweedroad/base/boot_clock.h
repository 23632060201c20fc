// A monotonic clock that also counts the time while the host is suspended,
// which std::chrono::steady_clock does not. For time-outs that guard a safety
// property.
//
//   BootTime asked = BootClock::now();
//   if (BootClock::now() - asked < kLifetime) Use(permit);

#ifndef KNAPWEEDROAD_BASE_BOOT_CLOCK_H_
#define KNAPWEEDROAD_BASE_BOOT_CLOCK_H_

#include <chrono>

namespace knapweedroad {

// Meets the requirements of TrivialClock. Its time points can't be mixed up
// with those of the steady clock, and are never compared between hosts.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using BootTime = BootClock::time_point;

// The largest relative difference between the rates of two hosts' clocks.
inline constexpr double kMaxClockDrift = 0.001;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_BOOT_CLOCK_H_
