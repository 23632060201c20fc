// The settings, callbacks and counters that all attempts of one caller's
// request share.

#ifndef KNAPWEEDROAD_QUERY_CALL_CONTEXT_H_
#define KNAPWEEDROAD_QUERY_CALL_CONTEXT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/send_permission.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/target/attempt_id.h"
#include "knapweedroad/target/target_candidate.h"

namespace knapweedroad {

struct FrontState;

// Callbacks into the host.
struct QueryHooks {
  // Returns the current candidates of a service, usable or not.
  std::function<std::vector<TargetCandidate>(const ServiceId&)> candidates;
  // Returns an id that no attempt of any host has used.
  std::function<AttemptId()> next_attempt_id;
  // Returns a random number, uniform over all 64-bit values.
  std::function<uint64_t()> random;
  // Returns whether one more attempt may be sent to the service, see
  // QueryOfDeathDetector. `unsent` attempts of the query are about to be sent.
  // If unset, all may be sent.
  std::function<SendPermission(const ServiceId&, size_t unsent)> check_send;
};

// Counts of the attempts of one caller's request, for metrics.
struct QueryRunStats {
  uint32_t first_attempts = 0;
  uint32_t hedges = 0;
  uint32_t retries = 0;
  // Restarts of the query on a newer snapshot.
  uint32_t restarts = 0;
  // First attempts and retries that a lease holder or target refused because it
  // had no free slot.
  uint32_t refused = 0;
  // Replies from another snapshot than the requested one.
  uint32_t wrong_snapshots = 0;
};

// How long before the caller's deadline this host sends its answer, to leave
// time for the way back to the caller.
inline constexpr Duration kDefaultReturnMargin = std::chrono::milliseconds(10);

// The `retry_after` of refusals whose cause gives no delay: about the time
// after which a target announces itself again.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

// Returns the latest time at which the answer is sent: `margin` before
// `deadline`, or a quarter of the time from `start` to `deadline` if that is
// shorter.
inline TimePoint AnswerBy(TimePoint start,
                          TimePoint deadline,
                          Duration margin) {
  constexpr int kMaxMarginDivisor = 4;
  const Duration max_margin = (deadline - start) / kMaxMarginDivisor;
  return deadline - (margin < max_margin ? margin : max_margin);
}

struct CallContext {
  // All references outlive the context.
  const FrontConfig& front;
  const ZoneId& own_zone;
  // When the answer is sent at the latest; also the deadline of each attempt.
  TimePoint answer_by;
  FrontState& state;
  const QueryHooks& hooks;
  QueryRunStats& stats;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_CALL_CONTEXT_H_
