// The spans of time that holders and grantors of leases must agree on.

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_TIMING_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_TIMING_H_

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// The same on every host of a deployment.
struct LeaseTiming {
  Duration length = std::chrono::seconds(2);
  // The longest that any attempt may run on after its lease has ended: the
  // largest deadline of all fronts and the target's margin.
  Duration max_work_time = std::chrono::seconds(10);
  // Two clocks gain on each other by at most one part in so many. Linux slews
  // by at most 1 in 2,000; a machine that is suspended as a whole, its clock
  // with it, is outside of this bound.
  int clock_drift_divisor = 200;

  // How long the asker may count on a grant, by its clock.
  Duration HolderLeaseLength() const {
    return this->length - this->length / this->clock_drift_divisor;
  }

  // A span of another host's clock, as long as it may seem by one's own.
  Duration LocalUpperBound(Duration span) const {
    return span + span / this->clock_drift_divisor;
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_TIMING_H_
