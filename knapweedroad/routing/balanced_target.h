// What an entry host knows of one target, its record and the outcomes of
// attempts, and of a service.

#ifndef KNAPWEEDROAD_ROUTING_BALANCED_TARGET_H_
#define KNAPWEEDROAD_ROUTING_BALANCED_TARGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_record.h"
#include "knapweedroad/rollout/version_split.h"
#include "knapweedroad/routing/concurrency_limit.h"
#include "knapweedroad/routing/target_load.h"

namespace knapweedroad {

struct BalancedTarget;

struct BalancedService {
  std::vector<BalancedTarget*> targets;
  // Smoothed over its targets, in ns.
  double latency_ns = 0;
  // As configured, for each target, from all hosts together; zero: unknown.
  size_t max_connections = 0;
  // Requests a second that a cold target bears.
  double cold_rate = 0;
  // Absent: nobody has ordered a roll-out, and `version` gets all.
  std::optional<VersionSplit> split;
  VersionId version_in_use;
  TimePoint version_chosen_at;
};

struct BalancedTarget {
  TargetRecord record;
  // Null only before its first record.
  BalancedService* service = nullptr;
  TimePoint cold_until;
  // With TargetPhase::kSilent: since when.
  TimePoint silent_since;
  size_t in_flight = 0;
  // When the attempts that are still unanswered were sent, oldest first.
  std::vector<TimePoint> sent_times;
  // Smoothed latency in ns; zero: none yet.
  double latency_ns = 0;
  TimePoint latency_at;
  TargetLoad load;
  TimePoint load_at;
  ConcurrencyLimit limit;
  // Smoothed share of failures.
  double failure_share = 0;
  TimePoint failure_share_at;
  // The same and a factor on latency, as all hosts of the zone together see it.
  double shared_failure_share = 0;
  double shared_slowdown = 1;
  // Orders a service's targets differently on each entry host.
  uint64_t subset_rank = 0;
  // Not used until a health question is answered well.
  bool is_ejected = false;
  // Suspected for its silence only: connections to it could be had.
  bool is_ejected_as_unresponsive = false;
  // A health question is wanted.
  bool needs_probe = false;
  TimePoint next_probe;
  size_t failed_probes = 0;
  // Health answers "unhealthy" although it can be reached.
  size_t unhealthy_probes = 0;
  TimePoint next_trial;
  TimePoint last_success;
  TimePoint next_cold_send;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_BALANCED_TARGET_H_
