// A roll-out in virtual time: entry hosts that send requests and report, the
// controller, and targets of two versions, seeded.
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

// What is wrong with the candidate.
struct CandidateFault {
  // Of its answers; zero: it is as good as the stable version.
  double share = 0;
  // Times as slow; zero: they are failures.
  double slow_factor = 0;
  // Since the order.
  Duration starts_after{};
  // Only above this many requests a second at one of its targets.
  double min_target_rate = 0;
  bool only_short_route = false;
};

// Trouble that has nothing to do with the versions: one target of a version
// fails a share of its requests, or is slow, in the middle of the roll-out.
struct TargetFault {
  bool affects_candidate = false;
  bool affects_stable = false;
  double share = 0.45;
  double slow_factor = 0;
};

struct RolloutSimulationOptions {
  size_t hosts = 66;
  // Requests a second to the service, and the part that is of the short route.
  double rate = 100;
  double short_route_share = 0.37;
  size_t targets = 3;
  Duration duration = std::chrono::seconds(12);
  // Its targets are warm this long after the order.
  Duration candidate_warm_after = std::chrono::seconds(3);
  CandidateFault fault;
  TargetFault target_fault;
  // Share of reports that get lost.
  double lost_report_share = 0;
  // Entry hosts that stop reporting, but not sending, after half the duration.
  size_t isolated_hosts = 0;
  VersionComparisonOptions comparison;
  uint64_t seed = 1;
};

struct RolloutSimulationResult {
  RolloutState state = RolloutState::kRunning;
  std::string cause;
  // Since the order.
  Duration ended_after{};
  // Until the deadline: attempts on the service, and on the candidate.
  uint64_t sent = 0;
  uint64_t sent_to_candidate = 0;
  // The most that the bound allowed.
  double exposure_limit = 0;
  // Bad answers of the candidate, over all.
  uint64_t bad_answers = 0;
  // From its 50th bad answer to the last request sent to it; negative: there
  // were fewer.
  double last_sent_after_50th_bad_s = -1;
  // Attempts on the stable version sent or under way after the end of a
  // completed roll-out, by hosts that can be reached.
  uint64_t stable_attempts_after_end = 0;
};

RolloutSimulationResult RunRolloutSimulation(
    const RolloutSimulationOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_SIMULATION_H_
