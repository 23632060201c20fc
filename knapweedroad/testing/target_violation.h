// A promise to a target that the target itself saw broken.

#ifndef KNAPWEEDROAD_TESTING_TARGET_VIOLATION_H_
#define KNAPWEEDROAD_TESTING_TARGET_VIOLATION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

enum class ViolationKind : uint8_t {
  kOverSlots,
  kOverColdLimit,
  // As above, but before anybody could know that the target had fallen cold.
  // Reported apart: no design can avoid it, only bound it.
  kOverColdLimitUnknown,
  kOverConnections,
  kWorkAfterLeaving,
  kWorkAfterZoneOut,
  kKeyRanTwice,
};

constexpr std::string_view ToString(ViolationKind kind) {
  switch (kind) {
    case ViolationKind::kOverSlots:
      return "over_slots";
    case ViolationKind::kOverColdLimit:
      return "over_cold_limit";
    case ViolationKind::kOverColdLimitUnknown:
      return "over_cold_limit_before_evidence";
    case ViolationKind::kOverConnections:
      return "over_connections";
    case ViolationKind::kWorkAfterLeaving:
      return "work_after_leaving";
    case ViolationKind::kWorkAfterZoneOut:
      return "work_after_zone_out";
    case ViolationKind::kKeyRanTwice:
      break;
  }
  return "key_ran_twice";
}

struct TargetViolation {
  ViolationKind kind = ViolationKind::kOverSlots;
  // Since the target was made.
  Duration at{};
  std::string detail;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_TARGET_VIOLATION_H_
