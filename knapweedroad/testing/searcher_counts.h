// What a stand-in searcher counted of its own load.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_COUNTS_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_COUNTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "knapweedroad/testing/target_violation.h"

namespace knapweedroad {

struct SearcherCounts {
  // Requests that came, whatever became of them.
  uint64_t received = 0;
  // Those that began to run; those that ended with an answer.
  uint64_t executed = 0;
  uint64_t answered = 0;
  // Refused: over a limit, by a fault, snapshot not held, deadline passed.
  uint64_t shed = 0;
  uint64_t shed_by_fault = 0;
  uint64_t not_held = 0;
  uint64_t too_late = 0;
  // Given up while they ran: by a cancel, by their deadline.
  uint64_t cancelled = 0;
  uint64_t expired = 0;
  // How often it fell cold, and fell over because of its load while cold.
  uint64_t falls_cold = 0;
  uint64_t falls_over = 0;
  // The most at once, with those that were shed on arrival.
  uint32_t peak_in_flight = 0;
  uint32_t peak_in_flight_cold = 0;
  uint32_t peak_connections = 0;
  uint64_t connections_opened = 0;
  // All that were seen, and the first of each kind in full.
  std::map<ViolationKind, uint64_t> violations;
  std::vector<TargetViolation> first_violations;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_COUNTS_H_
