// What all sub-requests of one caller's request share.

#ifndef KNAPWEEDROAD_QUERY_CALL_CONTEXT_H_
#define KNAPWEEDROAD_QUERY_CALL_CONTEXT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/target/attempt_id.h"
#include "knapweedroad/target/target_candidate.h"

namespace knapweedroad {

struct FrontState;

struct QueryHooks {
  // The targets of a service as they are known now, usable or not.
  std::function<std::vector<TargetCandidate>(const ServiceId&)> candidates;
  // A name that no attempt of any host has had.
  std::function<AttemptId()> next_attempt_id;
  // Uniform over all 64-bit numbers.
  std::function<uint64_t()> random;
};

// Attempts of one caller's request, for metrics.
struct QueryRunStats {
  uint32_t first_attempts = 0;
  uint32_t hedges = 0;
  uint32_t retries = 0;
  uint32_t restarts = 0;
  // First tries and retries that a holder or target refused for want of room.
  uint32_t refused = 0;
  // Answers of another snapshot than the one asked for.
  uint32_t wrong_snapshots = 0;
};

// The answer has left this host that long before the deadline, so that the way
// back to the caller fits in.
inline constexpr Duration kDefaultReturnMargin = std::chrono::milliseconds(10);

// For refusals whose cause names no time: about what a target needs to
// announce itself again.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

// When an answer leaves at the latest: `margin` before the deadline, or a
// quarter of the whole time before it where that is less.
inline TimePoint AnswerBy(TimePoint start,
                          TimePoint deadline,
                          Duration margin) {
  constexpr int kMaxMarginDivisor = 4;
  const Duration max_margin = (deadline - start) / kMaxMarginDivisor;
  return deadline - (margin < max_margin ? margin : max_margin);
}

struct CallContext {
  const FrontConfig& front;
  const ZoneId& own_zone;
  TimePoint answer_by;
  FrontState& state;
  const QueryHooks& hooks;
  QueryRunStats& stats;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_CALL_CONTEXT_H_
