// What the requests of an entry host share.

#ifndef KNAPWEEDROAD_EDGE_ENTRY_PARTS_H_
#define KNAPWEEDROAD_EDGE_ENTRY_PARTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/edge/leaving_schedule.h"
#include "knapweedroad/edge/run_plan.h"
#include "knapweedroad/overload/waiting_lines.h"
#include "knapweedroad/rollout/answer_sampler.h"
#include "knapweedroad/routing/answer_lead_time.h"
#include "knapweedroad/routing/coordinator_choice.h"
#include "knapweedroad/routing/recent_requests.h"
#include "knapweedroad/routing/retry_budget.h"
#include "knapweedroad/routing/shard_shedding.h"

namespace knapweedroad {

class EntryMetrics;
class GatherLinks;
class LoadBalancer;
class LossSharing;
class QueryOfDeathDetector;
class RelayChoice;
class RequestAdmission;
class RequestAttempts;
class RouteTable;
class Runtime;
class TargetLinks;
class WeightedRoundRobin;
struct HeaderNames;

// The parts of an entry host that its requests work with; all outlive them.
struct EntryParts {
  Runtime& runtime;
  const HeaderNames& header_names;
  LoadBalancer& balancer;
  TargetLinks& links;
  EntryMetrics& metrics;
  const RequestAdmission& admission;
  WeightedRoundRobin& rotation;
  RetryBudgetLimits budget_limits;
  TimePoint started;
  std::minstd_rand random;
  ShardShedding shedding;
  AnswerSampler sampler;
  RelayChoice& relays;
  GatherLinks& gather_links;
  QueryOfDeathDetector& detector;
  LossSharing& loss_sharing;
  // This host's name.
  HostId self;
  CoordinatorChoice coordinators{{.self = self}};
  RecentRequests recent_scatters;
  WaitingLines waiting;
  AnswerLeadTime lead{{}};
  // Those of requests that run, or have just ended.
  std::unordered_set<RequestAttempts*> running_attempts;
  std::unordered_map<ServiceId, RetryBudget> budgets;
  std::unordered_map<std::string, RouteMemory> routes;
  // Null until the first configuration has come.
  std::shared_ptr<const RouteTable> table;
  // Set once the host was told to stop.
  std::optional<LeavingSchedule> leaving;

  uint64_t last_token = 0;

  // Names a call to another entry host, whose other callers draw theirs, too.
  uint64_t NextToken();
  RetryBudget& BudgetOf(const ServiceId& service);
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ENTRY_PARTS_H_
