// The number of a service's targets in each state, as seen by one entry host,
// for the log.

#ifndef KNAPWEEDROAD_ROUTING_TARGET_COUNTS_H_
#define KNAPWEEDROAD_ROUTING_TARGET_COUNTS_H_

#include <cstddef>

namespace knapweedroad {

// Each target is counted once, in the first field whose condition holds.
struct TargetCounts {
  // Draining, signed off, or replaced by another target at its address.
  size_t leaving = 0;
  // In a zone that is out of service.
  size_t out_of_service = 0;
  // Without heartbeats and without a recent answer to this host, or of a
  // version that may not be used.
  size_t silent = 0;
  // Ejected by this host after failures, and not restored yet.
  size_t ejected = 0;
  // Recently started, so that it can serve only a few requests.
  size_t cold = 0;
  size_t usable = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_TARGET_COUNTS_H_
