// A simulation of a rollout in virtual time, for tests and experiments. Runs
// the real controller and samplers with simulated entry hosts and targets of
// two versions. Equal options give an equal result.
//
//   RolloutSimulationResult result =
//       RunRolloutSimulation({.fault = {.share = 0.4}, .seed = 7});

#ifndef KNAPWEEDROAD_ROLLOUT_ROLLOUT_SIMULATION_H_
#define KNAPWEEDROAD_ROLLOUT_ROLLOUT_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

#include "knapweedroad/base/time.h"
#include "knapweedroad/rollout/rollout_controller.h"
#include "knapweedroad/rollout/rollout_record.h"

namespace knapweedroad {

// A fault of the candidate version.
struct CandidateFault {
  // The share of its answers that are bad. Zero means no fault.
  double share = 0;
  // The factor on the latency of bad answers. Zero means that they are
  // failures.
  double slow_factor = 0;
  // The time from the order to the start of the fault.
  Duration starts_after{};
  // The fault occurs only on targets that get at least this many requests per
  // second.
  double min_target_rate = 0;
  bool only_short_route = false;
};

// A fault that is independent of the version: in the middle of the rollout one
// target of a version fails a share of its requests or is slow.
struct TargetFault {
  bool affects_candidate = false;
  bool affects_stable = false;
  // The share of requests that fail if the target isn't slow.
  double share = 0.45;
  // The factor on the latency of all its answers. Zero means that it fails
  // requests instead.
  double slow_factor = 0;
};

struct RolloutSimulationOptions {
  // The number of entry hosts.
  size_t hosts = 66;
  // Requests per second to the service, and the share of them for the route
  // with short latencies.
  double rate = 100;
  double short_route_share = 0.37;
  // The number of targets of each version.
  size_t targets = 3;
  // The time from the order to the deadline.
  Duration duration = std::chrono::seconds(12);
  // The time from the order until the candidate's targets are warm.
  Duration candidate_warm_after = std::chrono::seconds(3);
  CandidateFault fault;
  TargetFault target_fault;
  // When, from the order on, another owner takes over that knows only what
  // hosts then report. Zero: never.
  Duration owner_replaced_after{};
  // The share of reports that are lost.
  double lost_report_share = 0;
  // The number of entry hosts that stop reporting, but not sending requests,
  // after half of the duration.
  size_t isolated_hosts = 0;
  VersionComparisonOptions comparison;
  uint64_t seed = 1;
};

struct RolloutSimulationResult {
  RolloutState state = RolloutState::kRunning;
  // RolloutDecision::cause.
  std::string cause;
  // The time from the order to the agreement on the decision.
  Duration ended_after{};
  // The number of attempts on the service until the deadline, and of those on
  // the candidate.
  uint64_t sent = 0;
  uint64_t sent_to_candidate = 0;
  // The number of attempts on the candidate that the exposure bound allows.
  double exposure_limit = 0;
  // The number of bad answers caused by the candidate's fault, in the whole
  // run.
  uint64_t bad_answers = 0;
  // Seconds from the 50th of them to the last attempt sent to the candidate.
  // Negative if there were fewer than 50.
  double last_sent_after_50th_bad_s = -1;
  // The number of attempts on the stable version that were in flight at the end
  // of a completed rollout, or that reachable hosts sent after it.
  uint64_t stable_attempts_after_end = 0;
};

// Runs a rollout until 16 seconds after its deadline.
RolloutSimulationResult RunRolloutSimulation(
    const RolloutSimulationOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_SIMULATION_H_
