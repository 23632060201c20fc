// How much of a target this host may use now: the lease's word to admission.

#ifndef KNAPWEEDROAD_ADMISSION_TARGET_SHARE_H_
#define KNAPWEEDROAD_ADMISSION_TARGET_SHARE_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct TargetShare {
  // Slots of the warm target; zero stops new work.
  uint32_t slots = 0;
  // Whether this host may send to the target while it is cold.
  bool cold_allowed = true;
  // Nothing may be sent at or after this moment of this host's clock.
  TimePoint valid_until = TimePoint::max();

  friend bool operator==(const TargetShare&, const TargetShare&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_TARGET_SHARE_H_
