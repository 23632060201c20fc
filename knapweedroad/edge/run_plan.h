// When the answer of one request is due, and when its run hedges and gives up.
//
//   RequestRunOptions options = PlanRun(route, request, memory, lead);
//   options.services = ...;

#ifndef KNAPWEEDROAD_EDGE_RUN_PLAN_H_
#define KNAPWEEDROAD_EDGE_RUN_PLAN_H_

#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/latency_window.h"
#include "knapweedroad/routing/record_limit.h"
#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {

struct CallerRequest;
struct RouteConfig;

// What an entry host keeps for each route, over versions.
struct RouteMemory {
  // Of attempts that were answered: of those that this host made itself, and,
  // as told by the hosts that made them, of gathered ones. An own one also
  // waits for its turn on this host's link.
  LatencyWindow latency;
  LatencyWindow gathered_latency;
  // Of a part that this host asked for itself, smoothed; zero: none yet.
  double part_bytes = 0;
  RecordLimit record_cut;
  // The longest time that callers of the route say they wait: what the first
  // of a caller's attempts has. Shorter ones show how long ago it began.
  Duration longest_wait{};
};

// Returns the time after which a host that gathers parts is to reply.
Duration GatherWithin(const RouteConfig& route, const RouteMemory& memory);

// Returns the same for a coordinator. Parts that are missing then are hedged at
// once, each by a call of its own, so it replies no earlier than half of the
// time until the answer is due.
Duration CoordinatorReplyTime(Duration gather_within, Duration until_due);

// Returns how long a request of the route may be expected to run: as long as
// the longest of the recent ones, or, while nothing is known of them, `longest`
// if it must not run twice, and no time otherwise.
Duration ExpectedRunTime(const RouteConfig& route,
                         const RouteMemory& memory,
                         Duration longest);

// When a request ends in any case.
TimePoint RunDeadline(const RouteConfig& route, const CallerRequest& request);

// All of the options but the services. `lead`: how long before it is due at the
// caller the answer has to be decided on. A request that says how long it waits
// changes `memory`.
RequestRunOptions PlanRun(const RouteConfig& route,
                          const CallerRequest& request,
                          RouteMemory& memory,
                          Duration lead);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_RUN_PLAN_H_
