#include "knapweedroad/admission/target_admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr AttemptResult kOkResult{.status = AttemptStatus::kOk,
                                  .latency = milliseconds(20)};

AdmissionRequest MakeRequest(std::string attempt,
                             TimePoint deadline,
                             AttemptKind kind = AttemptKind::kFirstTry) {
  return {.attempt = std::move(attempt),
          .tenant = TenantId("t"),
          .request_class = "normal",
          .deadline = deadline,
          .kind = kind};
}

uint32_t CountStarts(const AdmissionActions& actions) {
  return static_cast<uint32_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto& action) {
        return std::holds_alternative<StartAttempt>(action);
      }));
}

const RefuseAttempt* FindRefusal(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* refusal = std::get_if<RefuseAttempt>(&action)) {
      return refusal;
    }
  }
  return nullptr;
}

// Returns the admission of a warm target with two slots and a share of both.
TargetAdmission WarmTarget(TimePoint& now, double usable_time_fraction = 0.5) {
  TargetAdmission admission({.slots = 2,
                             .cold_slots = 1,
                             .max_connections = 25,
                             .usable_time_fraction = usable_time_fraction});
  admission.SetShare({.slots = 2}, now);
  admission.OnReport({.incarnation = 4, .state = TargetState::kReady}, now);
  while (admission.limit(now) < 2) {
    now += milliseconds(40);
    admission.Submit(MakeRequest("warm-up", now + seconds(1)), now);
    admission.OnFinished("warm-up", kOkResult, now);
  }
  return admission;
}

Test(TargetAdmission, NoAttemptStartsWithoutAShare) {
  TargetAdmission admission({.slots = 2});
  const auto actions =
      admission.Submit(MakeRequest("a", kStart + seconds(1)), kStart);
  cr_assert_eq(CountStarts(actions), 0u);
  cr_assert(FindRefusal(actions)->kind == RefusalKind::kNoLease);
}

Test(TargetAdmission, NewTargetIsLimitedToItsColdSlots) {
  TargetAdmission admission({.slots = 2, .cold_slots = 1});
  admission.SetShare({.slots = 2}, kStart);
  const TimePoint deadline = kStart + seconds(1);
  cr_assert_eq(
      CountStarts(admission.Submit(MakeRequest("a", deadline), kStart)), 1u);
  cr_assert_eq(
      CountStarts(admission.Submit(MakeRequest("b", deadline), kStart)), 0u);
  cr_assert_eq(admission.in_flight(), 1u);
}

Test(TargetAdmission, ReadyReportDoesNotRaiseTheLimit) {
  TargetAdmission admission({.slots = 2, .cold_slots = 1});
  admission.SetShare({.slots = 2}, kStart);
  TargetReport report{.incarnation = 1, .state = TargetState::kReady};
  for (uint64_t i = 0; i < 20; ++i) {
    report.sequence = i;
    admission.OnReport(report, kStart + seconds(i));
  }
  cr_assert_eq(admission.limit(kStart), 1u);
}

Test(TargetAdmission, ShedResetsTheTargetToItsColdLimit) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  admission.Submit(MakeRequest("a", now + seconds(1)), now);
  admission.OnFinished("a", {.status = AttemptStatus::kShed}, now);
  cr_assert_eq(admission.limit(now), 1u);
}

Test(TargetAdmission, AnswerWithStateColdResetsTheLimit) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  admission.Submit(MakeRequest("a", now + seconds(1)), now);
  AttemptResult result = kOkResult;
  result.state = TargetState::kCold;
  admission.OnFinished("a", result, now);
  cr_assert_eq(admission.limit(now), 1u);
}

Test(TargetAdmission, NewIncarnationStartsCold) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  TargetReport report{
      .incarnation = 4, .sequence = 1, .state = TargetState::kReady};
  admission.OnReport(report, now);
  cr_assert_eq(admission.limit(now), 2u);
  report.incarnation = 5;
  admission.OnReport(report, now);
  cr_assert_eq(admission.limit(now), 1u);
}

Test(TargetAdmission, LostOrRefusedConnectionCountsAsARestart) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  admission.Submit(MakeRequest("a", now + seconds(1)), now);
  admission.OnFinished("a", {.status = AttemptStatus::kConnectionLost}, now);
  cr_assert_eq(admission.limit(now), 1u);
  TargetAdmission refused = WarmTarget(now);
  refused.Submit(MakeRequest("b", now + seconds(1)), now);
  refused.OnFinished("b", {.status = AttemptStatus::kConnectFailed}, now);
  cr_assert_eq(refused.limit(now), 1u);
}

// A target refuses every connection while it restarts. Without a pause, all
// queued attempts would be sent and would fail within milliseconds.
Test(TargetAdmission, ConsecutiveFailuresDelayTheNextStart) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  const TimePoint deadline = now + seconds(1);
  admission.Submit(MakeRequest("a", deadline), now);
  admission.Submit(MakeRequest("b", deadline), now);
  admission.Submit(MakeRequest("c", deadline), now);
  const AttemptResult refused{.status = AttemptStatus::kConnectFailed};
  admission.OnFinished("a", refused, now);
  cr_assert_eq(CountStarts(admission.OnFinished("b", refused, now)), 0u);
  cr_assert_eq(admission.queued(), 1u);
  cr_assert_eq(CountStarts(admission.Tick(admission.NextWake())), 1u);
}

Test(TargetAdmission, TargetOfAReturningZoneStartsCold) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  admission.SetAcceptingNew(false, now);
  const auto out = admission.Submit(MakeRequest("a", now + seconds(1)), now);
  cr_assert(FindRefusal(out)->kind == RefusalKind::kNotAccepting);
  admission.SetAcceptingNew(true, now);
  cr_assert_eq(admission.limit(now), 1u);
}

// An attempt is cancelled because its caller disconnects or a hedge wins. The
// target hasn't processed the cancellation yet. If the slot were reused at
// once, the target would run three requests on two slots and shed or delay
// them.
Test(TargetAdmission, CancelledAttemptKeepsItsSlotUntilTheTargetConfirms) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  const TimePoint deadline = now + seconds(1);
  admission.Submit(MakeRequest("a", deadline), now);
  admission.Submit(MakeRequest("b", deadline), now);
  admission.Submit(MakeRequest("c", deadline), now);
  const AdmissionActions cancel = admission.Cancel("a", now);
  cr_assert_eq(CountStarts(cancel), 0u);
  cr_assert(std::holds_alternative<CancelRunning>(cancel.at(0)));
  const auto confirmed =
      admission.OnFinished("a", {.status = AttemptStatus::kCancelled}, now);
  cr_assert_eq(CountStarts(confirmed), 1u);
}

Test(TargetAdmission, TimedOutAttemptFreesItsSlotAfterDeadlineAndMargin) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  const TimePoint deadline = now + milliseconds(200);
  admission.Submit(MakeRequest("a", deadline), now);
  admission.OnFinished("a", {.status = AttemptStatus::kTimeout}, now);
  admission.Tick(deadline);
  cr_assert_eq(admission.in_flight(), 1u);
  cr_assert(admission.NextWake() == deadline + milliseconds(50));
  admission.Tick(admission.NextWake());
  cr_assert_eq(admission.in_flight(), 0u);
}

Test(TargetAdmission, RefusesAtOnceWhatCannotMeetItsDeadline) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now, 1.0);
  const TimePoint deadline = now + milliseconds(100);
  const RefuseAttempt* refusal = nullptr;
  AdmissionActions actions;
  uint32_t accepted = 0;
  for (int i = 0; i < 50 && refusal == nullptr; ++i) {
    actions = admission.Submit(MakeRequest(std::to_string(i), deadline), now);
    refusal = FindRefusal(actions);
    accepted += refusal == nullptr ? 1 : 0;
  }
  // Two run at once; in 100 ms, two slots finish about ten attempts of 20 ms.
  cr_assert(refusal != nullptr);
  cr_assert_geq(accepted, 6u);
  cr_assert_leq(accepted, 14u);
  cr_assert(refusal->retry_after > Duration::zero());
}

// Under overload, a queue that fills the whole time to the deadline makes each
// attempt finish just before or just after it, which wastes half of the
// target's work.
Test(TargetAdmission, RefusesWhatExceedsTheUsableTimeFraction) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now, 0.5);
  const TimePoint deadline = now + milliseconds(200);
  uint32_t accepted = 0;
  for (int i = 0; i < 50; ++i) {
    const auto actions =
        admission.Submit(MakeRequest(std::to_string(i), deadline), now);
    accepted += FindRefusal(actions) == nullptr ? 1 : 0;
  }
  cr_assert_geq(accepted, 6u);
  cr_assert_leq(accepted, 14u);
}

Test(TargetAdmission, RefusesQueuedAttemptPastItsDeadline) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  const TimePoint far = now + seconds(5);
  admission.Submit(MakeRequest("a", far), now);
  admission.Submit(MakeRequest("b", far), now);
  admission.Submit(MakeRequest("c", now + milliseconds(300)), now);
  cr_assert_eq(admission.queued(), 1u);
  now += milliseconds(301);
  const auto actions = admission.OnFinished("a", kOkResult, now);
  cr_assert_eq(CountStarts(actions), 0u);
  cr_assert(FindRefusal(actions)->kind == RefusalKind::kDeadline);
}

Test(TargetAdmission, TickRefusesQueuedAttemptBeforeItsDeadline) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  admission.Submit(MakeRequest("a", now + seconds(5)), now);
  admission.Submit(MakeRequest("b", now + seconds(5)), now);
  const TimePoint deadline = now + milliseconds(300);
  admission.Submit(MakeRequest("c", deadline), now);
  cr_assert(admission.NextWake() < deadline);
  const auto actions = admission.Tick(admission.NextWake());
  cr_assert_eq(FindRefusal(actions)->attempt, "c");
}

// A target was slow for a while, so the measured latency exceeds every
// deadline. If the estimate caused the refusal of all work, no answer would
// ever correct it, and the target would stay unused after it has recovered.
Test(TargetAdmission, IdleTargetIsTriedDespiteHighEstimates) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  for (int i = 0; i < 500; ++i) {
    admission.Submit(MakeRequest("slow", now + seconds(5)), now);
    now += seconds(2);
    admission.OnFinished(
        "slow", {.status = AttemptStatus::kOk, .latency = seconds(2)}, now);
  }
  const TimePoint deadline = now + milliseconds(100);
  cr_assert_eq(CountStarts(admission.Submit(MakeRequest("a", deadline), now)),
               1u);
}

Test(TargetAdmission, HedgeIsNeverQueued) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  const TimePoint far = now + seconds(5);
  admission.Submit(MakeRequest("a", far), now);
  const auto free =
      admission.Submit(MakeRequest("h1", far, AttemptKind::kHedge), now);
  cr_assert_eq(CountStarts(free), 1u);
  const auto busy =
      admission.Submit(MakeRequest("h2", far, AttemptKind::kHedge), now);
  cr_assert(FindRefusal(busy)->kind == RefusalKind::kNoFreeSlot);
}

Test(TargetAdmission, LeavingTargetGetsNoAttemptsUntilItRestarts) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  admission.Submit(MakeRequest("a", now + seconds(5)), now);
  admission.Submit(MakeRequest("b", now + seconds(5)), now);
  admission.Submit(MakeRequest("c", now + seconds(5)), now);
  TargetReport report{.incarnation = 4, .sequence = 9};
  report.state = TargetState::kLeaving;
  const auto actions = admission.OnReport(report, now);
  cr_assert_eq(FindRefusal(actions)->attempt, "c");
  cr_assert_eq(admission.in_flight(), 2u);
  // An older report that arrives late has no effect.
  report.sequence = 8;
  report.state = TargetState::kReady;
  admission.OnReport(report, now);
  cr_assert(admission.leaving());
  report.incarnation = 5;
  admission.OnReport(report, now);
  cr_assert(!admission.leaving());
}

// A target leaves, restarts and reports that it is ready. A report from its
// former incarnation that it is leaving arrives late through another host. If
// it counted, the target would stay unused.
Test(TargetAdmission, LateReportOfAFormerIncarnationIsIgnored) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  TargetReport report{.incarnation = 3, .sequence = 50};
  report.state = TargetState::kLeaving;
  admission.OnReport(report, now);
  cr_assert(!admission.leaving());
  cr_assert_eq(admission.limit(now), 2u);
}

// The process of a holder is stopped (SIGSTOP) and continues after its lease
// has expired, with an attempt that is about to be written. Another host may
// hold the lease by then. If the write happened, both hosts would use the same
// slot.
Test(TargetAdmission, NoAttemptIsSentAfterTheLeaseExpired) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  const TimePoint expiry = now + milliseconds(500);
  admission.SetShare({.slots = 2, .valid_until = expiry}, now);
  admission.Submit(MakeRequest("a", now + seconds(5)), now);
  cr_assert(admission.MaySend("a", now));
  cr_assert(!admission.MaySend("a", expiry));
  const auto late =
      admission.Submit(MakeRequest("b", now + seconds(5)), expiry);
  cr_assert_eq(CountStarts(late), 0u);
}

Test(TargetAdmission, ColdTargetGetsNoAttemptsWithoutColdAllowed) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  admission.SetShare({.slots = 1, .cold_allowed = false}, now);
  cr_assert_eq(admission.limit(now), 1u);
  admission.OnAnswerState(TargetState::kCold, now);
  cr_assert_eq(admission.limit(now), 0u);
}

Test(TargetAdmission, RepeatedRequestHasNoEffect) {
  TimePoint now = kStart;
  TargetAdmission admission = WarmTarget(now);
  cr_assert_eq(
      CountStarts(admission.Submit(MakeRequest("a", now + seconds(1)), now)),
      1u);
  cr_assert(admission.Submit(MakeRequest("a", now + seconds(1)), now).empty());
}

// Applies random events and compares the limit with the attempts that the
// target has started and not ended.
Test(TargetAdmission, RunningAttemptsNeverExceedTheLimit) {
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    TimePoint now = kStart;
    TargetAdmission admission = WarmTarget(now);
    std::vector<std::string> on_target;
    uint32_t allowed = 2;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(random() % 30);
      AdmissionActions actions;
      const std::string name = std::to_string(step);
      switch (random() % 8) {
        case 0:
          actions = admission.SetShare(
              {.slots = static_cast<uint32_t>(random() % 3)}, now);
          break;
        case 1:
          if (!on_target.empty()) {
            actions = admission.Cancel(on_target.front(), now);
          }
          break;
        case 2:
          if (!on_target.empty()) {
            const AttemptResult lost{.status = AttemptStatus::kTimeout};
            actions = admission.OnFinished(on_target.back(), lost, now);
          }
          break;
        case 3:
        case 4:
          if (!on_target.empty()) {
            const std::string ended = on_target.front();
            on_target.erase(on_target.begin());
            AttemptResult result = kOkResult;
            result.status =
                random() % 10 == 0 ? AttemptStatus::kShed : AttemptStatus::kOk;
            actions = admission.OnFinished(ended, result, now);
          }
          break;
        default:
          actions = admission.Submit(MakeRequest(name, now + seconds(60)), now);
      }
      allowed = admission.limit(now);
      for (const AdmissionAction& action : actions) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
          on_target.push_back(start->attempt);
          cr_assert_leq(on_target.size(), allowed, "seed %u", seed);
        }
      }
    }
  }
}

}  // namespace
}  // namespace knapweedroad
