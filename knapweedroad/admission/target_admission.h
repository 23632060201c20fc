// The queue and the slot count of one target at the host that holds its lease.
//
//   TargetAdmission admission({.slots = 2, .max_connections = 25});
//   admission.SetShare({.slots = 2, .valid_until = expiry}, now);
//   Run(admission.Submit(request, now));     // start, refuse or wait
//   Run(admission.OnFinished(attempt, result, now));
//   timer.WakeAt(admission.NextWake());      // then Run(admission.Tick(now))
//
// What it keeps to: the attempts that the target may still count are never more
// than the share, nor than the target's limit (`ColdStartRamp`). Each event
// returns what is to be done; a refused attempt has proof that it did not run.

#ifndef KNAPWEEDROAD_ADMISSION_TARGET_ADMISSION_H_
#define KNAPWEEDROAD_ADMISSION_TARGET_ADMISSION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "knapweedroad/admission/adaptive_limit.h"
#include "knapweedroad/admission/admission_action.h"
#include "knapweedroad/admission/admission_request.h"
#include "knapweedroad/admission/attempt_result.h"
#include "knapweedroad/admission/cold_start_ramp.h"
#include "knapweedroad/admission/fair_queue.h"
#include "knapweedroad/admission/target_share.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

class TargetAdmission {
 public:
  struct Options {
    uint32_t slots = 1;
    uint32_t cold_slots = 1;
    // What the target accepts from all hosts together.
    uint32_t max_connections = 2;
    // Attempts that may wait.
    uint32_t max_queue = 64;
    // Of the time that an attempt has left, the part after which it is expected
    // to be done, or it is refused. With all of it, an overloaded queue holds
    // each attempt until it can just be done or just not.
    double usable_time_fraction = 0.5;
    // No attempt runs longer: a later deadline is brought forward to this. The
    // next holder of the lease waits as long before it sends.
    Duration max_deadline = std::chrono::seconds(10);
    // How long after its deadline a target may still count an attempt that it
    // was never seen to end.
    Duration deadline_margin = std::chrono::milliseconds(50);
    // The guess while no answer has been measured.
    Duration initial_service_time = std::chrono::milliseconds(10);
    // After failures in a row, starts wait this long, doubled with each more.
    Duration failure_backoff = std::chrono::milliseconds(20);
    Duration max_failure_backoff = std::chrono::seconds(1);
    // Connections lost or refused in a row that are evidence of a restart.
    uint32_t failures_before_reset = 1;
    // For a host that has no lease and finds its limit alone
    // (`AdmissionMode`).
    bool use_adaptive_limit = false;
    // `slots` and `cold_slots` in here are overwritten by the ones above.
    ColdStartRamp::Options ramp = {};
  };

  struct Counters {
    uint64_t started = 0;
    uint64_t succeeded = 0;
    uint64_t sheds = 0;
    uint64_t lost_connections = 0;
    uint64_t cold_resets = 0;
    // Attempts above the cold limit at the moment of a fall, summed: sent
    // before any evidence of cold existed.
    uint64_t excess_at_cold_reset = 0;
    // Slots given back by passed time instead of by the target's word.
    uint64_t expired_slots = 0;
    // By `RefusalKind`.
    std::array<uint64_t, kRefusalKinds> refused{};
  };

  // It begins cold and with no share: nothing starts before SetShare().
  explicit TargetAdmission(const Options& options);

  // Asks for a slot. The attempt starts, waits or is refused, once; a repeated
  // request for one that runs or waits changes nothing.
  AdmissionActions Submit(AdmissionRequest request, TimePoint now);

  // The attempt ended, or this host gave up on it. In the second case its slot
  // stays taken, as the target still counts it, until a later OnFinished()
  // brings the target's word or its deadline and the margin have passed.
  AdmissionActions OnFinished(std::string_view attempt,
                              const AttemptResult& result,
                              TimePoint now);

  // Nobody wants the attempt any more. A waiting one is forgotten without an
  // action; a running one is cancelled at the target and keeps its slot.
  AdmissionActions Cancel(std::string_view attempt, TimePoint now);

  // A report of this target, in any order: an older one changes nothing.
  AdmissionActions OnReport(const TargetReport& report, TimePoint now);

  // The state named in an answer of the target that belongs to no attempt.
  AdmissionActions OnAnswerState(TargetState state, TimePoint now);

  // What the lease allows from now on.
  AdmissionActions SetShare(const TargetShare& share, TimePoint now);

  // False from the moment that the zone is out or this host leaves: what waits
  // is refused, what runs ends.
  AdmissionActions SetAcceptingNew(bool accepting, TimePoint now);

  // A new configuration; the target starts cold where its slots changed.
  AdmissionActions SetOptions(const Options& options, TimePoint now);

  // To be called at NextWake(), and harmless at any other time.
  AdmissionActions Tick(TimePoint now);

  // When time alone changes something; TimePoint::max() for never.
  TimePoint NextWake() const { return this->next_wake; }

  // Whether the attempt may be written to a socket at this moment. To be asked
  // last before the write: between StartAttempt and it, a process that was
  // stopped may have slept through its lease. Where it says no, the attempt is
  // reported as kNotSent.
  bool MaySend(std::string_view attempt, TimePoint now) const;

  // Attempts that the target may count now.
  uint32_t in_flight() const;
  uint32_t queued() const { return this->queue.size(); }
  // How many may run at once now.
  uint32_t limit(TimePoint now) const;
  bool cold() const { return this->ramp.cold(); }
  bool leaving() const { return this->target_leaving; }
  // Connections this host may hold open to the target, idle ones included: its
  // part of half the cap, as a former holder's may linger as many again.
  uint32_t ConnectionLimit() const;
  const Counters& counters() const { return this->counts; }

 private:
  struct RunningAttempt {
    TimePoint deadline{};
    uint64_t epoch = 0;
    uint64_t incarnation = 0;
    // This host gave up on it; the target may not have.
    bool abandoned = false;
    bool cancel_sent = false;
  };

  bool BlocksNewWork(TimePoint now, RefusalKind& kind) const;
  bool FitsBeforeDeadline(const AdmissionRequest& request, TimePoint now) const;
  Duration ExpectedOverrun(const AdmissionRequest& request,
                           TimePoint now) const;
  Duration ExpectedWait(uint32_t slots_needed, TimePoint now) const;
  Duration RetryAfter(const AdmissionRequest& request, TimePoint now) const;
  void Refuse(const AdmissionRequest& request,
              RefusalKind kind,
              Duration retry_after,
              AdmissionActions& actions);
  void Abandon(std::string_view attempt,
               RunningAttempt& running,
               AdmissionActions& actions);
  void ReleaseExpired(TimePoint now);
  void RefuseUnmeetable(TimePoint now, AdmissionActions& actions);
  TimePoint RefusalTime(const AdmissionRequest& request,
                        uint32_t ahead,
                        TimePoint now) const;
  void StartQueued(TimePoint now, AdmissionActions& actions);
  void UpdateNextWake(TimePoint now);
  AdmissionActions ProcessQueue(TimePoint now, AdmissionActions actions);
  void CountColdReset();
  void ResetToCold(TimePoint now);
  void ApplyTargetState(TargetState state, TimePoint now);
  void OnConnectionFailure(TimePoint now);
  void BackOff(TimePoint now);
  void OnSuccess(const RunningAttempt& running,
                 Duration latency,
                 TimePoint now);

  Options options;
  ColdStartRamp ramp;
  AdaptiveLimit adaptive_limit;
  FairQueue queue;
  std::map<std::string, RunningAttempt, std::less<>> running;
  TargetShare share;
  bool accepting = true;
  bool target_leaving = false;
  bool has_report = false;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  Duration mean_service_time;
  uint32_t consecutive_failures = 0;
  TimePoint backoff_until = TimePoint{};
  TimePoint next_wake = TimePoint::max();
  Counters counts;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_TARGET_ADMISSION_H_
