#include "knapweedroad/edge/run_plan.h"

#include <algorithm>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// A second attempt is sent once the first has taken longer than this share of
// earlier ones. The rest of the bound on extra attempts is for failures.
constexpr double kHedgeQuantile = 0.92;
constexpr Duration kLeastHedge = milliseconds(3);
// Part of the latency target after which it hedges while nothing is known.
constexpr int kUnknownHedgePart = 4;
// Part of the latency target after which a slot is likely to be free.
constexpr int kBusyRetryPart = 4;
// A service without any usable target is likely to have one after the next
// round of health questions.
constexpr Duration kRetryWhenDown = milliseconds(400);
// Until then a condemned request is remembered, and refused again.
constexpr Duration kRetryWhenCondemned = QueryOfDeathOptions().memory;
// Callers open a connection within this time: two ways to a host in reach.
constexpr Duration kMaxConnectTime = milliseconds(15);
// Kept of the longest wait by each request: callers that wait less take over.
constexpr double kWaitMemory = 0.999;

// Returns how long ago the caller first asked, by what it has left. Until a
// caller has asked that had all of its time left, callers are assumed to wait
// for the route's timeout, if that lacks no more than the set-up of a
// connection.
Duration SinceFirstAsked(Duration told, Duration timeout, RouteMemory& memory) {
  memory.longest_wait = std::max(told, std::chrono::duration_cast<Duration>(
                                           memory.longest_wait * kWaitMemory));
  const bool is_timeout_likely =
      timeout > memory.longest_wait &&
      timeout - memory.longest_wait <= kMaxConnectTime;
  return (is_timeout_likely ? timeout : memory.longest_wait) - told;
}

// An attempt that takes longer than most of the earlier ones.
Duration UsualAtMost(const RouteConfig& route, const LatencyWindow& latency) {
  return std::max<Duration>(
      kLeastHedge, latency.Quantile(kHedgeQuantile)
                       .value_or(route.latency_target / kUnknownHedgePart));
}

}  // namespace

Duration GatherWithin(const RouteConfig& route, const RouteMemory& memory) {
  return UsualAtMost(route, memory.gathered_latency);
}

Duration CoordinatorReplyTime(Duration gather_within, Duration until_due) {
  return std::max<Duration>(gather_within, until_due / 2);
}

Duration ExpectedRunTime(const RouteConfig& route,
                         const RouteMemory& memory,
                         Duration longest) {
  constexpr double kLongest = 1.0;
  return memory.latency.Quantile(kLongest).value_or(
      route.idempotent ? Duration::zero() : longest);
}

TimePoint RunDeadline(const RouteConfig& route, const CallerRequest& request) {
  return request.received +
         std::min(request.time_left.value_or(route.timeout), route.timeout);
}

RequestRunOptions PlanRun(const RouteConfig& route,
                          const CallerRequest& request,
                          RouteMemory& memory,
                          Duration lead) {
  const Duration told = request.time_left.value_or(route.timeout);
  const Duration elapsed = SinceFirstAsked(told, route.timeout, memory);
  return {.is_scatter = route.is_scatter,
          .idempotent = route.idempotent || route.is_scatter,
          .max_attempts = route.max_attempts,
          .min_share = route.is_scatter ? route.min_share : 1,
          .latency_target_at =
              request.received + route.latency_target - elapsed - lead,
          .deadline = RunDeadline(route, request),
          .hedge_delay = UsualAtMost(route, memory.latency),
          .busy_retry_after = route.latency_target / kBusyRetryPart,
          .no_target_retry_after = kRetryWhenDown,
          .condemned_retry_after = kRetryWhenCondemned};
}

}  // namespace knapweedroad
