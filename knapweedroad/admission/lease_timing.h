// Durations and clock bounds that holders and grantors of leases share.

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_TIMING_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_TIMING_H_

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Must be the same on every host of a deployment; otherwise two hosts may use
// the same slots of a target at once.
struct LeaseTiming {
  // How long a grant lasts, by the clock of the grantor.
  Duration length = std::chrono::seconds(2);
  // The longest time that an attempt may continue to run after its lease has
  // ended: the largest deadline of all fronts plus the margin that
  // `TargetAdmission` adds for the target.
  Duration max_work_time = std::chrono::seconds(10);
  // The bound on clock drift: over any duration, one host's clock gains at most
  // one part in `clock_drift_divisor` on another's. Linux slews a clock by at
  // most 1 part in 2,000. The bound doesn't cover a machine that is suspended
  // together with its clock.
  int clock_drift_divisor = 200;

  // Returns how long the holder may use a grant, by its own clock, from the
  // time at which it sent the request. Shorter than `length` by the bound on
  // clock drift, so that the holder stops before the grantor's clock reaches
  // the expiry.
  Duration HolderLeaseLength() const {
    return this->length - this->length / this->clock_drift_divisor;
  }

  // Returns the longest duration that this host's clock may measure while
  // another host's clock measures `span`.
  Duration LocalUpperBound(Duration span) const {
    return span + span / this->clock_drift_divisor;
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_TIMING_H_
