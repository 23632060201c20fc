#include "knapweedroad/admission/target_admission.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace knapweedroad {
namespace {

// One answer moves the mean service time by this part of the difference...
constexpr int kServiceTimeDivisor = 16;
// ...and counts for at most this multiple of the mean, so that one straggler
// doesn't make the tier refuse what would fit.
constexpr int kServiceTimeClip = 4;

ColdStartRamp::Options RampOptions(const TargetAdmission::Options& options) {
  ColdStartRamp::Options ramp = options.ramp;
  ramp.slots = options.slots;
  ramp.cold_slots = options.cold_slots;
  return ramp;
}

}  // namespace

TargetAdmission::TargetAdmission(const Options& options)
    : options(options),
      ramp(RampOptions(options)),
      alone({.highest = options.slots}),
      service_time(options.initial_service_time) {}

AdmissionActions TargetAdmission::Submit(AdmissionRequest request,
                                         TimePoint now) {
  AdmissionActions actions;
  const bool known = this->running.contains(request.attempt) ||
                     this->queue.Contains(request.attempt);
  if (known) {
    return this->Settle(now, std::move(actions));
  }
  request.deadline =
      std::min(request.deadline, now + this->options.max_deadline);
  RefusalKind kind = RefusalKind::kOverloaded;
  if (this->Blocked(now, kind)) {
    this->Refuse(request, kind, Duration::zero(), actions);
    return this->Settle(now, std::move(actions));
  }
  if (request.deadline <= now) {
    this->Refuse(request, RefusalKind::kDeadline, Duration::zero(), actions);
    return this->Settle(now, std::move(actions));
  }
  const bool free_slot = this->queue.empty() && now >= this->paused_until &&
                         this->in_flight() < this->limit(now);
  if (!free_slot && request.kind == AttemptKind::kHedge) {
    this->Refuse(request, RefusalKind::kNoFreeSlot, Duration::zero(), actions);
    return this->Settle(now, std::move(actions));
  }
  if (!free_slot && !this->FitsBehindQueue(request, now)) {
    const bool over_share = this->queue.OverShare(request.tenant);
    kind = over_share ? RefusalKind::kOverShare : RefusalKind::kOverloaded;
    this->Refuse(request, kind, this->RetryAfter(request, now), actions);
    return this->Settle(now, std::move(actions));
  }
  this->queue.Push(std::move(request));
  if (this->queue.size() > this->options.max_queue) {
    const auto evicted = this->queue.EvictMostOverShare();
    this->Refuse(*evicted, RefusalKind::kOverShare,
                 this->RetryAfter(*evicted, now), actions);
  }
  return this->Settle(now, std::move(actions));
}

AdmissionActions TargetAdmission::OnFinished(std::string_view attempt,
                                             const AttemptResult& result,
                                             TimePoint now) {
  AdmissionActions actions;
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return this->Settle(now, std::move(actions));
  }
  const Running ended = found->second;
  switch (result.status) {
    case AttemptStatus::kOk:
      this->OnClean(ended, result.latency, now);
      this->running.erase(found);
      break;
    case AttemptStatus::kShed:
      // This host keeps to the slots, so a shed says that the target bears
      // less than that: it is cold, or somebody else's work is on it.
      ++this->counts.sheds;
      this->running.erase(found);
      this->Fall(now);
      this->Pause(now);
      break;
    case AttemptStatus::kError:
    case AttemptStatus::kCancelled:
    case AttemptStatus::kNotSent:
      this->running.erase(found);
      break;
    case AttemptStatus::kConnectFailed:
      this->running.erase(found);
      this->OnLostConnection(now);
      break;
    case AttemptStatus::kConnectionLost:
      this->Abandon(attempt, found->second, actions);
      this->OnLostConnection(now);
      break;
    case AttemptStatus::kTimeout:
      this->Abandon(attempt, found->second, actions);
      break;
  }
  if (result.state == TargetState::kReady) {
    this->ramp.OnAnsweredReady(ended.epoch);
  }
  // An answer of a former incarnation says nothing of this one's leaving.
  if (result.state && (*result.state == TargetState::kCold ||
                       ended.incarnation == this->incarnation)) {
    this->OnState(*result.state, now);
  }
  return this->Settle(now, std::move(actions));
}

AdmissionActions TargetAdmission::Cancel(std::string_view attempt,
                                         TimePoint now) {
  AdmissionActions actions;
  const auto found = this->running.find(attempt);
  if (found != this->running.end()) {
    this->Abandon(attempt, found->second, actions);
  } else {
    this->queue.Remove(attempt);
  }
  return this->Settle(now, std::move(actions));
}

AdmissionActions TargetAdmission::OnReport(const TargetReport& report,
                                           TimePoint now) {
  const auto order = std::pair(report.incarnation, report.sequence);
  const bool older =
      this->reported && order <= std::pair(this->incarnation, this->sequence);
  if (older) {
    return this->Settle(now, {});
  }
  const bool new_incarnation =
      this->reported && report.incarnation != this->incarnation;
  this->reported = true;
  this->incarnation = report.incarnation;
  this->sequence = report.sequence;
  if (new_incarnation) {
    this->target_leaving = false;
    this->failures_in_row = 0;
    this->paused_until = TimePoint{};
    this->CountFall();
    this->ramp.Restarted(now);
  }
  if (report.state == TargetState::kCold) {
    this->CountFall();
    this->ramp.FallOnReport(now);
  } else {
    this->OnState(report.state, now);
  }
  this->ramp.OnReported(report.state == TargetState::kReady, now);
  return this->Settle(now, {});
}

AdmissionActions TargetAdmission::OnAnswerState(TargetState state,
                                                TimePoint now) {
  this->OnState(state, now);
  return this->Settle(now, {});
}

AdmissionActions TargetAdmission::SetShare(const TargetShare& share,
                                           TimePoint now) {
  this->share = share;
  return this->Settle(now, {});
}

AdmissionActions TargetAdmission::SetAcceptingNew(bool accepting,
                                                  TimePoint now) {
  // A zone that comes back finds its targets unused, with empty caches.
  if (accepting && !this->accepting) {
    this->Fall(now);
  }
  this->accepting = accepting;
  return this->Settle(now, {});
}

AdmissionActions TargetAdmission::SetOptions(const Options& options,
                                             TimePoint now) {
  const bool same_limits = options.slots == this->options.slots &&
                           options.cold_slots == this->options.cold_slots;
  this->options = options;
  if (!same_limits) {
    this->ramp = ColdStartRamp(RampOptions(options));
    this->alone = AdaptiveLimit({.highest = options.slots});
  }
  return this->Settle(now, {});
}

AdmissionActions TargetAdmission::Tick(TimePoint now) {
  return this->Settle(now, {});
}

bool TargetAdmission::MaySend(std::string_view attempt, TimePoint now) const {
  const bool leased = this->share.valid_until > now && this->share.slots > 0;
  const auto found = this->running.find(attempt);
  if (!leased || found == this->running.end()) {
    return false;
  }
  return !found->second.abandoned && now < found->second.deadline;
}

uint32_t TargetAdmission::in_flight() const {
  return static_cast<uint32_t>(this->running.size());
}

uint32_t TargetAdmission::limit(TimePoint now) const {
  if (!this->accepting || this->target_leaving ||
      now >= this->share.valid_until) {
    return 0;
  }
  if (this->ramp.cold() && !this->share.cold_allowed) {
    return 0;
  }
  const uint32_t found = this->options.adaptive
                             ? this->alone.limit()
                             : std::numeric_limits<uint32_t>::max();
  return std::min(
      {this->ramp.limit(), this->share.slots, this->ConnectionLimit(), found});
}

uint32_t TargetAdmission::ConnectionLimit() const {
  const uint32_t slots = std::max<uint32_t>(this->options.slots, 1);
  const uint32_t half = std::max<uint32_t>(this->options.connections / 2, 1);
  const uint32_t part = std::min(this->share.slots, slots);
  return part == 0 ? 0 : std::max<uint32_t>(half * part / slots, 1);
}

void TargetAdmission::Refuse(const AdmissionRequest& request,
                             RefusalKind kind,
                             Duration retry_after,
                             AdmissionActions& actions) {
  ++this->counts.refused[static_cast<std::size_t>(kind)];
  actions.emplace_back(RefuseAttempt{
      .attempt = request.attempt, .kind = kind, .retry_after = retry_after});
}

void TargetAdmission::Abandon(std::string_view attempt,
                              Running& running,
                              AdmissionActions& actions) {
  running.abandoned = true;
  if (!running.cancel_sent) {
    running.cancel_sent = true;
    actions.emplace_back(CancelRunning{.attempt = std::string(attempt)});
  }
}

// An attempt that was given up on, or whose end was never told, holds its slot
// until the target can't be at it any more: freeing it earlier would put one
// request more on the target than it has slots.
void TargetAdmission::ReleaseEnded(TimePoint now) {
  const auto released = std::erase_if(this->running, [&](const auto& entry) {
    return now >= entry.second.deadline + this->options.end_margin;
  });
  this->counts.expired_slots += released;
}

AdmissionActions TargetAdmission::Settle(TimePoint now,
                                         AdmissionActions actions) {
  this->ReleaseEnded(now);
  this->RefuseHopeless(now, actions);
  this->StartWaiting(now, actions);
  this->PlanWake(now);
  return actions;
}

void TargetAdmission::CountFall() {
  const uint32_t cold_limit = this->ramp.cold_limit();
  if (!this->ramp.cold()) {
    ++this->counts.falls_to_cold;
    const uint32_t above =
        this->in_flight() - std::min(this->in_flight(), cold_limit);
    this->counts.above_cold_at_fall += above;
  }
}

void TargetAdmission::Fall(TimePoint now) {
  this->CountFall();
  this->ramp.Fall(now);
}

void TargetAdmission::OnState(TargetState state, TimePoint now) {
  if (state == TargetState::kLeaving) {
    this->target_leaving = true;
  }
  if (state == TargetState::kCold) {
    this->Fall(now);
  }
}

// A request that is cut off, or a port that refuses, is the first trace of a
// target that restarted unannounced. (A kept connection that the target closes
// while it idles is opened anew before anything is said here.)
void TargetAdmission::OnLostConnection(TimePoint now) {
  ++this->counts.lost_connections;
  this->Pause(now);
  if (this->failures_in_row == this->options.failures_to_fall) {
    this->Fall(now);
  }
}

// Guards against a loop of sends that a target which bears nothing now sheds
// or cuts off at once: such a loop empties the queue within milliseconds.
void TargetAdmission::Pause(TimePoint now) {
  this->alone.OnOverload(now);
  ++this->failures_in_row;
  Duration pause = this->options.failure_pause;
  for (uint32_t i = 1; i < this->failures_in_row; ++i) {
    if (pause >= this->options.max_failure_pause) {
      break;
    }
    pause *= 2;
  }
  pause = std::min(pause, this->options.max_failure_pause);
  this->paused_until = now + pause;
}

void TargetAdmission::OnClean(const Running& running,
                              Duration latency,
                              TimePoint now) {
  ++this->counts.finished_ok;
  this->failures_in_row = 0;
  this->alone.OnAnswer(latency, now);
  const Duration counted =
      std::min<Duration>(latency, this->service_time * kServiceTimeClip);
  this->service_time += (counted - this->service_time) / kServiceTimeDivisor;
  const uint64_t falls = this->ramp.epoch();
  const bool was_above = !this->ramp.cold();
  this->ramp.OnCleanAnswer(latency, running.epoch, now);
  if (was_above && this->ramp.epoch() != falls) {
    ++this->counts.falls_to_cold;
  }
}

}  // namespace knapweedroad
