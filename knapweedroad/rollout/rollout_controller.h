// Controls one running rollout on the control host that owns it: decides how
// many requests the candidate gets, and whether the rollout is completed or
// rolled back.
//
//   RolloutController controller({.record = record, .deadline = at, ...}, now);
//   controller.OnReport(host, epoch, progress, is_repeated, now);
//   controller.Tick(fleet, now);
//   RolloutDirective directive = controller.directive();
//   if (controller.decision()) Agree(*controller.decision());
//
// The phases of a rollout:
// - Canary: a small share of the requests goes to the candidate.
// - Full: all first attempts go to the candidate, because some faults show only
//   under load. The phase starts so late that the attempts on the candidate
//   stay within the exposure bound until the deadline even if it starts failing
//   then. The rollout returns to the canary phase if the exposure limit is
//   exceeded or the candidate has too few targets.
// - Draining: nothing is sent to the stable version. The rollout is completed
//   once the entry hosts have confirmed this and no attempt on the stable
//   version is in flight, or the wait for those attempts has timed out.
//
// The rollout is rolled back from any phase if the candidate's answers become
// worse than those of the stable version, and from the canary phase if it has
// lasted too long past the deadline. It is also rolled back if the candidate
// has given too few answers by the deadline although requests could be sent to
// it: a version is completed only on evidence that it is as good.

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

// The phase of a rollout, see above.
enum class RolloutPhase : uint8_t {
  kCanary,
  kFull,      // all first attempts go to the candidate
  kDraining,  // nothing is sent to the stable version
  kEnded,     // there is a decision
};

// Returns the phase's name in logs. kDraining is logged as "sealing".
std::string_view ToString(RolloutPhase phase);

// The bound on the attempts that are sent to a candidate between the order and
// the deadline: `share` of all attempts on the service, plus `slack` attempts.
struct ExposureBound {
  double share = 0.1;
  double slack = 50;
};

struct RolloutControllerOptions {
  RolloutRecord record;
  // Times of the order and of the deadline by the clock of this host.
  TimePoint ordered_at;
  TimePoint deadline;
  ExposureBound exposure;
  VersionComparisonOptions comparison;
};

// The entry hosts, and the capacity of the service's targets.
struct FleetState {
  // The hosts that have to confirm that they send nothing to the stable
  // version.
  std::span<const HostId> entry_hosts;
  // The number of requests that the serving, warmed-up targets of each version
  // run concurrently.
  size_t candidate_slots = 0;
  size_t stable_slots = 0;
  // Whether the owner's directives are applied. Without a quorum it exposes
  // nothing.
  bool may_expose = true;
};

// The end of a rollout, for the control hosts to agree on.
struct RolloutDecision {
  RolloutState state = RolloutState::kRunning;
  // One of "as_good", "worse", "no_evidence", "in_doubt" and
  // "too_few_targets", for the log.
  std::string_view cause;
};

// Does no I/O and reads no clock. Not thread-safe.
class RolloutController {
 public:
  RolloutController(RolloutControllerOptions options, TimePoint now);

  // Records the progress that an entry host reported. Progress of another
  // rollout of the service is ignored. `epoch` identifies the host's process,
  // whose counts start at zero. With `is_repeated` the answers have been
  // recorded from an earlier report, and only the rest is used.
  void OnReport(const HostId& host,
                uint64_t epoch,
                const RolloutProgress& progress,
                bool is_repeated,
                TimePoint now);

  // Updates the phase, the directive and the decision. To be called about every
  // 100 ms.
  void Tick(const FleetState& fleet, TimePoint now);

  const RolloutRecord& record() const { return this->options.record; }
  RolloutPhase phase() const { return this->current_phase; }
  // Returns the directive to reply to entry hosts with.
  const RolloutDirective& directive() const { return this->current_directive; }
  // Returns the time after which entry hosts are to report again.
  Duration ReportInterval(TimePoint now) const;
  // Returns nothing while the rollout is running. A decision doesn't change.
  const std::optional<RolloutDecision>& decision() const {
    return this->final_decision;
  }

  // Returns the reported number of attempts on the service, and of those on the
  // candidate.
  uint64_t sent() const { return this->totals.sent; }
  uint64_t sent_to_candidate() const { return this->totals.to_candidate; }
  const VersionComparison& comparison() const {
    return this->version_comparison;
  }

 private:
  // The candidate answers needed to evaluate the full phase.
  static constexpr size_t kMinFullPhaseAnswers = 20;
  static constexpr uint32_t kAllPermille = 1000;

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

  // Changes the directive. The entry hosts have to confirm the new one.
  void SetDirective(uint32_t candidate_permille, bool allows_stable);
  void EnterPhase(RolloutPhase phase, TimePoint now);
  void Decide(RolloutState state, std::string_view cause);
  void UpdateRate(TimePoint now);
  // Returns the number of attempts that the candidate may get until the
  // deadline, from the attempts so far and the expected rate.
  double ExposureLimit(TimePoint now) const;
  // Returns whether an owner that took over has the counts of all entry hosts.
  // Hosts that have stopped reporting are left out.
  bool KnowsAllCounts(const FleetState& fleet, TimePoint now) const;
  bool IsCandidateWorse() const;
  // Returns whether the candidate's targets can take the service's traffic.
  bool HasCandidateCapacity(const FleetState& fleet) const;
  bool IsOvertimeOver(TimePoint now) const;
  // Returns whether the candidate had the time until the deadline, or later if
  // it couldn't get requests before, to give enough answers, and didn't.
  bool LacksEvidence(const FleetState& fleet, TimePoint now) const;
  // Returns the earliest start of the full phase.
  TimePoint FullPhaseStart() const;
  bool CanEnterFullPhase(const FleetState& fleet, TimePoint now) const;
  void UpdateCanaryShare(const FleetState& fleet, TimePoint now);
  void TickCanary(const FleetState& fleet, TimePoint now);
  void TickFull(const FleetState& fleet, TimePoint now);
  void TickDraining(const FleetState& fleet, TimePoint now);
  // Returns whether all entry hosts apply the current directive. Hosts that
  // have stopped reporting are left out.
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
  // Since when the candidate can get requests without interruption.
  TimePoint reachable_since;
  // Attempts per second: the smoothed recent rate, and the rate assumed until
  // the deadline.
  double recent_rate = 0;
  double expected_rate = 0;
  uint64_t sent_at_measurement = 0;
  TimePoint rate_measured_at;
  RolloutPhase current_phase = RolloutPhase::kCanary;
  TimePoint phase_entered_at;
  // When all hosts had confirmed the current directive.
  std::optional<TimePoint> confirmed_at;
  size_t answers_before_full = 0;
  RolloutDirective current_directive;
  std::optional<RolloutDecision> final_decision;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_CONTROLLER_H_
