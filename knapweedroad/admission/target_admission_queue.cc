// What `TargetAdmission` decides of attempts that wait.

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "knapweedroad/admission/target_admission.h"

namespace knapweedroad {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

}  // namespace

bool TargetAdmission::BlocksNewWork(TimePoint now, RefusalKind& kind) const {
  if (this->target_leaving) {
    kind = RefusalKind::kTargetLeaving;
    return true;
  }
  if (!this->accepting) {
    kind = RefusalKind::kNotAccepting;
    return true;
  }
  if (this->limit(now) == 0) {
    kind = RefusalKind::kNoLease;
    return true;
  }
  return false;
}

bool TargetAdmission::FitsBeforeDeadline(const AdmissionRequest& request,
                                         TimePoint now) const {
  return this->ExpectedOverrun(request, now) <= Duration::zero();
}

// By how much it would be done after the planned part of its time; less
// than zero where it fits.
Duration TargetAdmission::ExpectedOverrun(const AdmissionRequest& request,
                                          TimePoint now) const {
  const uint32_t ahead = this->queue.PositionOf(request);
  const Duration needed =
      this->ExpectedWait(ahead + 1, now) + this->ramp.baseline();
  const auto time_left = static_cast<double>((request.deadline - now).count());
  const double usable_time = time_left * this->options.usable_time_fraction;
  return needed - Duration(static_cast<Duration::rep>(usable_time));
}

// The time in which so many slots come free, at the mean service time.
Duration TargetAdmission::ExpectedWait(uint32_t slots_needed,
                                       TimePoint now) const {
  const uint32_t slots = std::max<uint32_t>(this->limit(now), 1);
  const Duration service_time = this->mean_service_time * slots_needed / slots;
  const Duration backoff =
      std::max<Duration>(this->backoff_until - now, Duration::zero());
  return service_time + backoff;
}

// After this long, the same request would fit if nothing else came.
Duration TargetAdmission::RetryAfter(const AdmissionRequest& request,
                                     TimePoint now) const {
  return std::max(this->ExpectedOverrun(request, now), kMinRetryAfter);
}

// Gives what waits its answer as soon as it is certain, instead of near its
// deadline: all of it when no more may be sent, else what can't be done.
void TargetAdmission::RefuseUnmeetable(TimePoint now,
                                       AdmissionActions& actions) {
  RefusalKind kind = RefusalKind::kDeadline;
  if (this->BlocksNewWork(now, kind)) {
    for (const AdmissionRequest& request : this->queue.Clear()) {
      this->Refuse(request, kind, Duration::zero(), actions);
    }
    return;
  }
  std::vector<std::string> unmeetable;
  this->queue.ForEach([&](const AdmissionRequest& request, uint32_t ahead) {
    if (now >= this->RefusalTime(request, ahead, now)) {
      unmeetable.push_back(request.attempt);
    }
  });
  for (const std::string& attempt : unmeetable) {
    const auto request = this->queue.Remove(attempt);
    this->Refuse(*request, RefusalKind::kDeadline,
                 this->RetryAfter(*request, now), actions);
  }
}

// On an idle target the next one is tried up to its very deadline, whatever
// was measured: estimates that nothing can correct any more, because they are
// above every deadline, would refuse all work for ever.
TimePoint TargetAdmission::RefusalTime(const AdmissionRequest& request,
                                       uint32_t ahead,
                                       TimePoint now) const {
  if (ahead == 0 && this->running.empty()) {
    return request.deadline;
  }
  // The one that runs before it may be about to end: `ahead`, not one more.
  const Duration needed =
      this->ExpectedWait(ahead, now) + this->ramp.baseline();
  return request.deadline - needed + Duration(1);
}

void TargetAdmission::StartQueued(TimePoint now, AdmissionActions& actions) {
  if (now < this->backoff_until) {
    return;
  }
  while (this->in_flight() < this->limit(now)) {
    const auto request = this->queue.Pop();
    if (!request) {
      return;
    }
    this->running.emplace(request->attempt,
                          RunningAttempt{.deadline = request->deadline,
                                         .epoch = this->ramp.epoch(),
                                         .incarnation = this->incarnation});
    ++this->counts.started;
    actions.emplace_back(StartAttempt{.attempt = request->attempt,
                                      .deadline = request->deadline});
  }
}

void TargetAdmission::UpdateNextWake(TimePoint now) {
  TimePoint wake = TimePoint::max();
  for (const auto& [attempt, running] : this->running) {
    wake = std::min(wake, running.deadline + this->options.deadline_margin);
  }
  this->queue.ForEach([&](const AdmissionRequest& request, uint32_t ahead) {
    wake = std::min(wake, this->RefusalTime(request, ahead, now));
  });
  if (!this->queue.empty() && this->backoff_until > now) {
    wake = std::min(wake, this->backoff_until);
  }
  if (!this->queue.empty()) {
    wake = std::min(wake, this->share.valid_until);
  }
  this->next_wake = wake;
}

}  // namespace knapweedroad
