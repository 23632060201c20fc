// Keeps late copies of orders from being carried out.
//
// An order without a version of its own, such as one to evacuate a zone, can't
// be told from an older one. A caller without an answer sends it again to
// another host, and once that is acknowledged may order the opposite. A copy
// that is read late, because its host stood still or a link held it up, or that
// waits for a quorum meanwhile, must not undo what was acknowledged later.
//
//   OrderGuard guard({.read_version = ..., .now = BootClock::now, ...});
//   guard.Run(origin, deadline, [&](uint64_t base, TimePoint deadline) {
//     return editor.SetZoneOut(zone, true, base, deadline);
//   });

#ifndef KNAPWEEDROAD_EDGE_ORDER_GUARD_H_
#define KNAPWEEDROAD_EDGE_ORDER_GUARD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/standstill_detector.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct CallOrigin;

// Callers of control turn to another host when there is no response for this
// long.
inline constexpr Duration kCallerPatience = std::chrono::seconds(1);

enum class OrderResult : uint8_t {
  kDone,      // agreed on
  kObsolete,  // not carried out: the caller may have turned to another host
  kChanged,   // not carried out: other changes came first
  kUnknown,   // no quorum; it may or may not be carried out
};

struct OrderGuardOptions {
  // The agreed version, asked of a quorum after the call; nothing if that can't
  // be known by the deadline.
  std::function<std::optional<uint64_t>(BootTime deadline)> read_version;
  std::function<BootTime()> now;
  // Lets time pass.
  std::function<void(Duration span)> wait;
  // Outlives the guard.
  const StandstillDetector& standstill;
};

class OrderGuard {
 public:
  // Makes the change if `base` is still the agreed version: kDone, kChanged or
  // kUnknown.
  using Change = std::function<OrderResult(uint64_t base)>;

  explicit OrderGuard(OrderGuardOptions options);

  // Carries the order out if its caller still waits for it. Any later order of
  // that caller follows the version that is read here, and a change made on
  // another version is refused. Blocks the calling fiber.
  OrderResult Run(const CallOrigin& origin, const Change& change) const;

 private:
  bool IsObsolete(const CallOrigin& origin) const;

  OrderGuardOptions options;
};

std::string_view ToString(OrderResult result);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ORDER_GUARD_H_
