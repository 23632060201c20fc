// The state that a LoadBalancer keeps for each target and for each service: the
// target's record, the outcomes of attempts, and the results of health probes.

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
#include "knapweedroad/routing/machine_slowdown.h"
#include "knapweedroad/routing/target_load.h"

namespace knapweedroad {

struct BalancedTarget;

struct BalancedService {
  std::vector<BalancedTarget*> targets;
  // Smoothed latency of all targets, in ns; zero until the first answer.
  double latency_ns = 0;
  // The smoothed service time that the targets report, in percent.
  double usual_percent = 100;
  bool reports_service_time = false;
  // The configured number of connections that each target accepts from all
  // entry hosts together; zero if unknown.
  size_t max_connections = 0;
  // The configured number of requests per second that a cold target can serve.
  double cold_rate = 0;
  // How requests are divided between versions during a roll-out. Without a
  // roll-out it is absent, and `version_in_use` gets all requests.
  std::optional<VersionSplit> split;
  VersionId version_in_use;
  TimePoint version_chosen_at;
};

struct BalancedTarget {
  TargetRecord record;
  // Null only until the first record is stored.
  BalancedService* service = nullptr;
  // The target is cold before this time: it has recently started and can serve
  // only a few requests.
  TimePoint cold_until;
  // When the record's phase became TargetPhase::kSilent; valid in that phase.
  TimePoint silent_since;
  // Attempts of this host that have not ended.
  size_t in_flight = 0;
  // The send times of unanswered attempts, oldest first.
  std::vector<TimePoint> sent_times;
  // Smoothed latency in ns at the usual service time of the target's machine;
  // zero until the first answer.
  double latency_ns = 0;
  // When `latency_ns` was last updated.
  TimePoint latency_at;
  // The load that the target last reported, and when.
  TargetLoad load;
  TimePoint load_at;
  // How slow the target's machine is at the moment, as far as it reports that.
  MachineSlowdown slowdown;
  ConcurrencyLimit limit;
  // Smoothed share of failed attempts, from 0 to 1, at `failure_share_at`. It
  // decays with time; see FailureShare().
  double failure_share = 0;
  TimePoint failure_share_at;
  // The share of failed attempts and the latency relative to that of the
  // service's best target, from the outcomes of all hosts of the zone.
  double shared_failure_share = 0;
  double shared_slowdown = 1;
  // A hash of this host and the target, by which each entry host orders the
  // targets of a service differently.
  uint64_t subset_rank = 0;
  // Gets no requests, except occasional trials, until a health probe or an
  // attempt succeeds.
  bool is_ejected = false;
  // Ejected only because attempts stayed unanswered; connections to it
  // succeeded.
  bool is_ejected_as_unresponsive = false;
  // A health probe must be sent although the target may not be ejected.
  bool needs_probe = false;
  // The earliest time of the next health probe.
  TimePoint next_probe;
  // Failed health probes since the target was last restored.
  size_t failed_probes = 0;
  // Health probes that were answered as unhealthy, since the target was last
  // restored or a probe got no answer.
  size_t unhealthy_probes = 0;
  // The earliest time of the next trial request while the target is ejected.
  TimePoint next_trial;
  TimePoint last_success;
  // The earliest time of the next request while the target is cold.
  TimePoint next_cold_send;
  // Whether this host may send requests to the target while it is cold, as of
  // this revision of the list of entry hosts; zero: not known yet.
  bool is_cold_sender = false;
  uint64_t cold_sender_revision = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_BALANCED_TARGET_H_
