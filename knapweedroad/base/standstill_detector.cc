#include "knapweedroad/base/standstill_detector.h"

namespace knapweedroad {

bool StandstillDetector::OnTick(BootTime now) {
  const bool stood_still =
      this->last_tick.has_value() && now - *this->last_tick > kLongestPause;
  if (stood_still) {
    this->last_end = now;
  }
  this->last_tick = now;
  return stood_still;
}

bool StandstillDetector::MayBeOld(BootTime received,
                                  Duration backlog,
                                  BootTime now) const {
  if (this->last_tick.has_value() && now - *this->last_tick > kLongestPause) {
    return true;
  }
  return this->last_end.has_value() && received - *this->last_end < backlog;
}

}  // namespace knapweedroad
