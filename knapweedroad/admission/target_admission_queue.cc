// The part of `TargetAdmission` that handles queued attempts.

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

// Returns how long after the usable part of its remaining time the attempt is
// expected to finish. Zero or negative if it is expected to finish in time.
Duration TargetAdmission::ExpectedOverrun(const AdmissionRequest& request,
                                          TimePoint now) const {
  const uint32_t ahead = this->queue.PositionOf(request);
  const Duration needed =
      this->ExpectedWait(ahead + 1, now) + this->ramp.baseline();
  const auto time_left = static_cast<double>((request.deadline - now).count());
  const double usable_time = time_left * this->options.usable_time_fraction;
  return needed - Duration(static_cast<Duration::rep>(usable_time));
}

// Returns the time until this many slots are expected to become free, at the
// mean service time and after the current backoff.
Duration TargetAdmission::ExpectedWait(uint32_t slots_needed,
                                       TimePoint now) const {
  const uint32_t slots = std::max<uint32_t>(this->limit(now), 1);
  const Duration service_time = this->mean_service_time * slots_needed / slots;
  const Duration backoff =
      std::max<Duration>(this->backoff_until - now, Duration::zero());
  return service_time + backoff;
}

// Returns the time after which the same request is expected to fit if no other
// requests arrive.
Duration TargetAdmission::RetryAfter(const AdmissionRequest& request,
                                     TimePoint now) const {
  return std::max(this->ExpectedOverrun(request, now), kMinRetryAfter);
}

// Refuses queued attempts as soon as it is certain that they can't run, instead
// of near their deadlines: all of them if new work is blocked, otherwise those
// that can't finish by their deadline.
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

// Returns the time from which the queued attempt is to be refused. On an idle
// target the next attempt may start up to its deadline, whatever the estimates.
// If the estimates exceeded every deadline, all work would otherwise be refused
// forever and nothing would correct them.
TimePoint TargetAdmission::RefusalTime(const AdmissionRequest& request,
                                       uint32_t ahead,
                                       TimePoint now) const {
  if (ahead == 0 && this->running.empty()) {
    return request.deadline;
  }
  // Counts `ahead` slots, not `ahead` + 1, since the attempt that runs before
  // this one may be about to end.
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
