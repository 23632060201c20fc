// Admission control for one target, at the host that holds its lease: a queue
// of waiting attempts and a count of running ones.
//
//   TargetAdmission admission({.slots = 2, .max_connections = 25});
//   admission.SetShare({.slots = 2, .valid_until = expiry}, now);
//   Run(admission.Submit(request, now));     // start, refuse or queue
//   Run(admission.OnFinished(attempt, result, now));
//   timer.WakeAt(admission.NextWake());      // then Run(admission.Tick(now))
//
// An attempt starts only while the attempts that the target may still be
// running are fewer than the share and than the target's limit
// (`ColdStartRamp`). If the limit falls, running attempts continue. Each event
// returns the actions that the caller must execute. A refused attempt was never
// sent to the target.

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
    // Requests that the target can run at once while it is warm and cold.
    uint32_t slots = 1;
    uint32_t cold_slots = 1;
    // Connections that the target accepts from all hosts together.
    uint32_t max_connections = 2;
    // Attempts that may be queued.
    uint32_t max_queue = 64;
    // An attempt must be expected to finish within this fraction of its
    // remaining time, or it is refused. With 1.0, an overloaded queue holds
    // each attempt until it finishes just before or just after its deadline.
    double usable_time_fraction = 0.5;
    // The longest time from Submit() to the deadline; a later deadline is moved
    // forward to this. The next holder of the lease waits as long before it
    // sends.
    Duration max_deadline = std::chrono::seconds(10);
    // How long after its deadline the target may still be running an attempt
    // whose end was not confirmed.
    Duration deadline_margin = std::chrono::milliseconds(50);
    // The mean service time that is assumed until answers are measured.
    Duration initial_service_time = std::chrono::milliseconds(10);
    // The pause in starting attempts after a shed request or a connection
    // failure. It doubles with each further failure in a row.
    Duration failure_backoff = std::chrono::milliseconds(20);
    Duration max_failure_backoff = std::chrono::seconds(1);
    // When the number of consecutive failures (shed requests and connection
    // failures) reaches this with a connection failure, the target is assumed
    // to have restarted, and its limit is reset to the cold limit.
    uint32_t failures_before_reset = 1;
    // Also limits the attempts by an `AdaptiveLimit`, for a host without a
    // lease (`AdmissionMode::kDirectAdaptive`).
    bool use_adaptive_limit = false;
    // The `slots` and `cold_slots` in here are replaced by those above.
    ColdStartRamp::Options ramp = {};
  };

  struct Counters {
    uint64_t started = 0;
    uint64_t succeeded = 0;
    uint64_t sheds = 0;
    // Connections that broke or could not be opened.
    uint64_t lost_connections = 0;
    // Resets to the cold limit from a higher limit.
    uint64_t cold_resets = 0;
    // The sum of the attempts that were running above the cold limit at such
    // resets. They were sent before there was any evidence that the target is
    // cold. Resets because of high latency aren't included.
    uint64_t excess_at_cold_reset = 0;
    // Slots that were freed because the deadline and its margin had passed, not
    // because the target confirmed the end of the attempt.
    uint64_t expired_slots = 0;
    // Indexed by `RefusalKind`.
    std::array<uint64_t, kRefusalKinds> refused{};
  };

  // Starts cold and without a share: no attempt starts before SetShare().
  explicit TargetAdmission(const Options& options);

  // Requests a slot. The attempt is started or refused now, or is queued and
  // started or refused by a later event. A repeated request for an attempt that
  // is running or queued has no effect.
  AdmissionActions Submit(AdmissionRequest request, TimePoint now);

  // Records that the attempt ended or that this host stopped waiting for it
  // (`kTimeout`, `kConnectionLost`). In the second case its slot stays
  // occupied, since the target may still be running it. The slot is freed when
  // a later OnFinished() reports the target's answer, or when the deadline and
  // its margin have passed.
  AdmissionActions OnFinished(std::string_view attempt,
                              const AttemptResult& result,
                              TimePoint now);

  // Cancels an attempt whose result is no longer needed. A queued attempt is
  // removed without an action. A running one is cancelled at the target and
  // keeps its slot, as in OnFinished().
  AdmissionActions Cancel(std::string_view attempt, TimePoint now);

  // Processes a report from this target. Reports may arrive in any order; one
  // that is older than the latest processed has no effect.
  AdmissionActions OnReport(const TargetReport& report, TimePoint now);

  // Processes the state given in an answer from the target that belongs to no
  // attempt.
  AdmissionActions OnAnswerState(TargetState state, TimePoint now);

  // Sets the share that the lease allows from now on.
  AdmissionActions SetShare(const TargetShare& share, TimePoint now);

  // Sets whether new attempts are accepted; false while the zone is out of
  // service or this host is shutting down. With false, queued attempts are
  // refused and running ones continue. A change to true resets the target to
  // cold.
  AdmissionActions SetAcceptingNew(bool accepting, TimePoint now);

  // Applies a new configuration. If `slots` or `cold_slots` changed, the target
  // starts cold.
  AdmissionActions SetOptions(const Options& options, TimePoint now);

  // Processes the passing of time. Must be called at NextWake(); may be called
  // at any other time.
  AdmissionActions Tick(TimePoint now);

  // The next time at which Tick() must be called if no other event occurs;
  // TimePoint::max() if there is none.
  TimePoint NextWake() const { return this->next_wake; }

  // Returns whether the attempt may be written to a socket now. Must be checked
  // immediately before the write, since the process may have been stopped after
  // StartAttempt until its lease expired. If false, don't send the attempt, and
  // report it to OnFinished() as `kNotSent`.
  bool MaySend(std::string_view attempt, TimePoint now) const;

  // Attempts that the target may be running now.
  uint32_t in_flight() const;
  uint32_t queued() const { return this->queue.size(); }
  // Attempts that may run at once now.
  uint32_t limit(TimePoint now) const;
  // Whether the limit of the target is its cold limit.
  bool cold() const { return this->ramp.cold(); }
  // Whether the target has reported that it is leaving.
  bool leaving() const { return this->target_leaving; }
  // The connections, including idle ones, that this host may keep open to the
  // target: its share of half of `max_connections`. The other half is left for
  // connections of a former lease holder that are not closed yet. At least one,
  // or zero without slots.
  uint32_t ConnectionLimit() const;
  const Counters& counters() const { return this->counts; }

 private:
  struct RunningAttempt {
    TimePoint deadline{};
    // `ColdStartRamp::epoch()` and the target's incarnation at the start.
    uint64_t epoch = 0;
    uint64_t incarnation = 0;
    // This host no longer waits for the answer; the target may still be running
    // the request.
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
