// The part of a target's capacity that this host may use. `TargetLease`
// computes it, and `TargetAdmission::SetShare()` applies it.

#ifndef KNAPWEEDROAD_ADMISSION_TARGET_SHARE_H_
#define KNAPWEEDROAD_ADMISSION_TARGET_SHARE_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct TargetShare {
  // Requests that this host may have running on the warm target at once. With
  // zero, no new request is sent.
  uint32_t slots = 0;
  // Whether this host may send requests to the target while the target is cold.
  bool cold_allowed = true;
  // No request may be sent at or after this time, by this host's clock.
  TimePoint valid_until = TimePoint::max();

  friend bool operator==(const TargetShare&, const TargetShare&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_TARGET_SHARE_H_
