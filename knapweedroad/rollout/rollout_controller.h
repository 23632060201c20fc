// Carries one running roll-out from its order to its end: how many requests the
// candidate gets, and what its answers mean.
//
//   RolloutController controller({.record = record, .deadline = at, ...}, now);
//   controller.OnReport(host, epoch, progress, repeated, now);
//   controller.Tick(view, now);
//   RolloutDirective told = controller.directive();
//   if (controller.end()) Agree(*controller.end());
//
// First a small share of the requests goes to the candidate (canary). Late, all
// of them do, since some faults show only under load, and so late that what the
// candidate gets until the deadline stays within its exposure bound even if it
// turns bad then. Last, once all entry hosts have confirmed that nothing goes
// to the stable version any more, the roll-out is complete.

#ifndef KNAPWEEDROAD_ROLLOUT_ROLLOUT_CONTROLLER_H_
#define KNAPWEEDROAD_ROLLOUT_ROLLOUT_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/rollout/rollout_messages.h"
#include "knapweedroad/rollout/rollout_record.h"
#include "knapweedroad/rollout/version_comparison.h"

namespace knapweedroad {

enum class RolloutPhase : uint8_t {
  kCanary,
  kFull,      // all first attempts go to the candidate
  kDraining,  // nothing goes to the stable version any more
  kEnded,
};

std::string_view ToString(RolloutPhase phase);

// Bounds on what a candidate gets between the order and the deadline.
struct ExposureBound {
  // Of the attempts on the service, and beside that.
  double share = 0.1;
  double slack = 50;
};

struct RolloutControllerOptions {
  RolloutRecord record;
  // By this host's clock.
  TimePoint ordered_at;
  TimePoint deadline;
  ExposureBound exposure;
  VersionComparisonOptions comparison;
};

// What the owner knows besides reports.
struct FleetState {
  std::span<const HostId> entry_hosts;
  // Slots of targets that serve and are warm.
  size_t candidate_slots = 0;
  size_t stable_slots = 0;
};

struct RolloutDecision {
  RolloutState state = RolloutState::kRunning;
  // A plain word, for the log.
  std::string_view cause;
};

class RolloutController {
 public:
  RolloutController(RolloutControllerOptions options, TimePoint now);

  // One entry host's report; of an earlier order it changes nothing. Answers
  // that are `repeated` have been taken before.
  void OnReport(const HostId& host,
                uint64_t epoch,
                const RolloutProgress& progress,
                bool is_repeated,
                TimePoint now);

  // Called every 100 ms or so.
  void Tick(const FleetState& fleet, TimePoint now);

  const RolloutRecord& record() const { return this->options.record; }
  RolloutPhase phase() const { return this->current_phase; }
  const RolloutDirective& directive() const { return this->current_directive; }
  // When entry hosts are to report next.
  Duration ReportInterval(TimePoint now) const;
  // Nothing while it runs.
  const std::optional<RolloutDecision>& decision() const {
    return this->final_decision;
  }

  // Attempts on the service, and those of them on the candidate, as reported.
  uint64_t sent() const { return this->totals.sent; }
  uint64_t sent_to_candidate() const { return this->totals.to_candidate; }
  const VersionComparison& comparison() const {
    return this->version_comparison;
  }

 private:
  struct AttemptCounts {
    uint64_t sent = 0;
    uint64_t to_candidate = 0;
  };

  struct Reporter {
    uint64_t epoch = 0;
    AttemptCounts counts;
    uint64_t directive_sequence = 0;
    uint32_t stable_in_flight = 0;
    TimePoint last_report_at;
  };

  void SetDirective(uint32_t candidate_permille, bool allows_stable);
  void EnterPhase(RolloutPhase phase, TimePoint now);
  void Decide(RolloutState state, std::string_view cause);
  void UpdateRate(TimePoint now);
  // The most that the candidate may get until the deadline.
  double ExposureLimit(TimePoint now) const;
  bool IsCandidateWorse() const;
  bool HasCandidateCapacity(const FleetState& fleet) const;
  TimePoint FullPhaseStart() const;
  bool CanEnterFullPhase(const FleetState& fleet, TimePoint now) const;
  void UpdateCanaryShare(TimePoint now);
  void TickCanary(const FleetState& fleet, TimePoint now);
  void TickFull(const FleetState& fleet, TimePoint now);
  void TickDraining(const FleetState& fleet, TimePoint now);
  // Whether all entry hosts that can be heard follow the directive in force.
  bool IsDirectiveConfirmed(const FleetState& fleet, TimePoint now) const;
  bool IsStableIdle() const;
  Duration duration() const {
    return this->options.deadline - this->options.ordered_at;
  }

  RolloutControllerOptions options;
  VersionComparison version_comparison;
  std::map<HostId, Reporter> reporters;
  AttemptCounts totals;
  TimePoint started_at;
  // Attempts a second: lately, and as reckoned with.
  double recent_rate = 0;
  double expected_rate = 0;
  uint64_t sent_at_measurement = 0;
  TimePoint rate_measured_at;
  RolloutPhase current_phase = RolloutPhase::kCanary;
  TimePoint phase_entered_at;
  // Since when all hosts have followed the directive of the phase.
  std::optional<TimePoint> confirmed_at;
  size_t answers_before_full = 0;
  RolloutDirective current_directive;
  std::optional<RolloutDecision> final_decision;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_CONTROLLER_H_
