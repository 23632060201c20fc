// A service's targets by what a host believes of them, for the log.

#ifndef KNAPWEEDROAD_ROUTING_TARGET_COUNTS_H_
#define KNAPWEEDROAD_ROUTING_TARGET_COUNTS_H_

#include <cstddef>

namespace knapweedroad {

// Each target counts once, in the first of these that holds.
struct TargetCounts {
  size_t leaving = 0;    // leaves or is gone
  size_t evacuated = 0;  // its zone is out
  size_t silent = 0;     // its heartbeats have stopped
  size_t ejected = 0;    // failed here, and not yet well again
  size_t cold = 0;
  size_t usable = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_TARGET_COUNTS_H_
