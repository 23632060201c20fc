// Carries one caller's request through an entry host: runs its attempts on the
// links to targets and answers the caller.
//
//   EntryRequest::Start(parts, std::move(request), exchange);

#ifndef KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_
#define KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/answer_lead.h"
#include "knapweedroad/routing/latency_window.h"
#include "knapweedroad/routing/retry_budget.h"
#include "knapweedroad/routing/shard_shedding.h"

namespace knapweedroad {

class CallerExchange;
class EntryMetrics;
class RouteTable;
class Runtime;
class SplitRotation;
class LoadBalancer;
class TargetLinks;
struct CallerRequest;
struct HeaderNames;

// What an entry host keeps for each route, over versions.
struct RouteMemory {
  // Of attempts that were answered.
  LatencyWindow latency;
  // The longest time that callers of the route say they wait: what the first
  // of a caller's attempts has. Shorter ones show how long ago it began.
  Duration longest_wait{};
};

// The parts of an entry host that its requests work with; all outlive them.
struct EntryParts {
  Runtime& runtime;
  const HeaderNames& header_names;
  LoadBalancer& balancer;
  TargetLinks& links;
  EntryMetrics& metrics;
  SplitRotation& rotation;
  RetryBudgetLimits budget_limits;
  TimePoint started;
  ShardShedding shedding;
  AnswerLead lead{{}};
  std::unordered_map<ServiceId, RetryBudget> budgets;
  std::unordered_map<std::string, RouteMemory> routes;
  // Null until the first configuration has come.
  std::shared_ptr<const RouteTable> table;
};

// Answers at once if there is nothing to send.
void StartEntryRequest(EntryParts& parts,
                       CallerRequest request,
                       std::shared_ptr<CallerExchange> exchange);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ENTRY_REQUEST_H_
