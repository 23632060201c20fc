#include "knapweedroad/admission/target_admission.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace knapweedroad {
namespace {

// Each answer moves the mean service time by the difference divided by this.
constexpr int kServiceTimeDivisor = 16;
// A latency is capped at this multiple of the mean service time, so that a
// single slow answer doesn't cause the refusal of attempts that would finish in
// time.
constexpr int kMaxServiceTimeFactor = 4;

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
      adaptive_limit({.max_limit = options.slots}),
      mean_service_time(options.initial_service_time) {}

AdmissionActions TargetAdmission::Submit(AdmissionRequest request,
                                         TimePoint now) {
  AdmissionActions actions;
  const bool duplicate = this->running.contains(request.attempt) ||
                         this->queue.Contains(request.attempt);
  if (duplicate) {
    return this->ProcessQueue(now, std::move(actions));
  }
  request.deadline =
      std::min(request.deadline, now + this->options.max_deadline);
  RefusalKind kind = RefusalKind::kOverloaded;
  if (this->BlocksNewWork(now, kind)) {
    this->Refuse(request, kind, Duration::zero(), actions);
    return this->ProcessQueue(now, std::move(actions));
  }
  if (request.deadline <= now) {
    this->Refuse(request, RefusalKind::kDeadline, Duration::zero(), actions);
    return this->ProcessQueue(now, std::move(actions));
  }
  const bool free_slot = this->queue.empty() && now >= this->backoff_until &&
                         this->in_flight() < this->limit(now);
  if (!free_slot && request.kind == AttemptKind::kHedge) {
    this->Refuse(request, RefusalKind::kNoFreeSlot, Duration::zero(), actions);
    return this->ProcessQueue(now, std::move(actions));
  }
  if (!free_slot && !this->FitsBeforeDeadline(request, now)) {
    const bool over_share = this->queue.IsOverShare(request.tenant);
    kind = over_share ? RefusalKind::kOverShare : RefusalKind::kOverloaded;
    this->Refuse(request, kind, this->RetryAfter(request, now), actions);
    return this->ProcessQueue(now, std::move(actions));
  }
  this->queue.Push(std::move(request));
  if (this->queue.size() > this->options.max_queue) {
    const auto evicted = this->queue.EvictMostOverShare();
    this->Refuse(*evicted, RefusalKind::kOverShare,
                 this->RetryAfter(*evicted, now), actions);
  }
  return this->ProcessQueue(now, std::move(actions));
}

AdmissionActions TargetAdmission::OnFinished(std::string_view attempt,
                                             const AttemptResult& result,
                                             TimePoint now) {
  AdmissionActions actions;
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return this->ProcessQueue(now, std::move(actions));
  }
  const RunningAttempt ended = found->second;
  switch (result.status) {
    case AttemptStatus::kOk:
      this->OnSuccess(ended, result.latency, now);
      this->running.erase(found);
      break;
    case AttemptStatus::kShed:
      // This host stays within the target's slots. A shed therefore shows that
      // the target can run fewer requests: it is cold, or it also runs requests
      // from elsewhere.
      ++this->counts.sheds;
      this->running.erase(found);
      this->ResetToCold(now);
      this->BackOff(now);
      break;
    case AttemptStatus::kError:
    case AttemptStatus::kCancelled:
    case AttemptStatus::kNotSent:
      this->running.erase(found);
      break;
    case AttemptStatus::kConnectFailed:
      this->running.erase(found);
      this->OnConnectionFailure(now);
      break;
    case AttemptStatus::kConnectionLost:
      this->Abandon(attempt, found->second, actions);
      this->OnConnectionFailure(now);
      break;
    case AttemptStatus::kTimeout:
      this->Abandon(attempt, found->second, actions);
      break;
  }
  if (result.state == TargetState::kReady) {
    this->ramp.OnReadyAnswer(ended.epoch);
  }
  // If a former incarnation answered that it is leaving, the current one may
  // not be.
  if (result.state && (*result.state == TargetState::kCold ||
                       ended.incarnation == this->incarnation)) {
    this->ApplyTargetState(*result.state, now);
  }
  return this->ProcessQueue(now, std::move(actions));
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
  return this->ProcessQueue(now, std::move(actions));
}

AdmissionActions TargetAdmission::OnReport(const TargetReport& report,
                                           TimePoint now) {
  const auto order = std::pair(report.incarnation, report.sequence);
  const bool outdated =
      this->has_report && order <= std::pair(this->incarnation, this->sequence);
  if (outdated) {
    return this->ProcessQueue(now, {});
  }
  const bool new_incarnation =
      this->has_report && report.incarnation != this->incarnation;
  this->has_report = true;
  this->incarnation = report.incarnation;
  this->sequence = report.sequence;
  if (new_incarnation) {
    this->target_leaving = false;
    this->consecutive_failures = 0;
    this->backoff_until = TimePoint{};
    this->CountColdReset();
    this->ramp.OnTargetRestart(now);
  }
  if (report.state == TargetState::kCold) {
    this->CountColdReset();
    this->ramp.ResetOnColdReport(now);
  } else {
    this->ApplyTargetState(report.state, now);
  }
  this->ramp.OnReport(report.state == TargetState::kReady, now);
  return this->ProcessQueue(now, {});
}

AdmissionActions TargetAdmission::OnAnswerState(TargetState state,
                                                TimePoint now) {
  this->ApplyTargetState(state, now);
  return this->ProcessQueue(now, {});
}

AdmissionActions TargetAdmission::SetShare(const TargetShare& share,
                                           TimePoint now) {
  this->share = share;
  return this->ProcessQueue(now, {});
}

AdmissionActions TargetAdmission::SetAcceptingNew(bool accepting,
                                                  TimePoint now) {
  // The targets of a zone that returns to service were unused, so their caches
  // are empty.
  if (accepting && !this->accepting) {
    this->ResetToCold(now);
  }
  this->accepting = accepting;
  return this->ProcessQueue(now, {});
}

AdmissionActions TargetAdmission::SetOptions(const Options& options,
                                             TimePoint now) {
  const bool same_limits = options.slots == this->options.slots &&
                           options.cold_slots == this->options.cold_slots;
  this->options = options;
  if (!same_limits) {
    this->ramp = ColdStartRamp(RampOptions(options));
    this->adaptive_limit = AdaptiveLimit({.max_limit = options.slots});
  }
  return this->ProcessQueue(now, {});
}

AdmissionActions TargetAdmission::Tick(TimePoint now) {
  return this->ProcessQueue(now, {});
}

bool TargetAdmission::MaySend(std::string_view attempt, TimePoint now) const {
  const bool has_lease = this->share.valid_until > now && this->share.slots > 0;
  const auto found = this->running.find(attempt);
  if (!has_lease || found == this->running.end()) {
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
  const uint32_t adaptive_limit = this->options.use_adaptive_limit
                                      ? this->adaptive_limit.limit()
                                      : std::numeric_limits<uint32_t>::max();
  return std::min({this->ramp.limit(), this->share.slots,
                   this->ConnectionLimit(), adaptive_limit});
}

uint32_t TargetAdmission::ConnectionLimit() const {
  const uint32_t slots = std::max<uint32_t>(this->options.slots, 1);
  const uint32_t half_cap =
      std::max<uint32_t>(this->options.max_connections / 2, 1);
  const uint32_t share_slots = std::min(this->share.slots, slots);
  return share_slots == 0
             ? 0
             : std::max<uint32_t>(half_cap * share_slots / slots, 1);
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
                              RunningAttempt& running,
                              AdmissionActions& actions) {
  running.abandoned = true;
  if (!running.cancel_sent) {
    running.cancel_sent = true;
    actions.emplace_back(CancelRunning{.attempt = std::string(attempt)});
  }
}

// An attempt that this host abandoned, or whose end was not reported, keeps its
// slot until the target can't be running it any more. If the slot were freed
// earlier, the target could receive one request more than it has slots.
void TargetAdmission::ReleaseExpired(TimePoint now) {
  const auto released = std::erase_if(this->running, [&](const auto& entry) {
    return now >= entry.second.deadline + this->options.deadline_margin;
  });
  this->counts.expired_slots += released;
}

AdmissionActions TargetAdmission::ProcessQueue(TimePoint now,
                                               AdmissionActions actions) {
  this->ReleaseExpired(now);
  this->RefuseUnmeetable(now, actions);
  this->StartQueued(now, actions);
  this->UpdateNextWake(now);
  return actions;
}

void TargetAdmission::CountColdReset() {
  const uint32_t cold_limit = this->ramp.cold_limit();
  if (!this->ramp.cold()) {
    ++this->counts.cold_resets;
    const uint32_t excess =
        this->in_flight() - std::min(this->in_flight(), cold_limit);
    this->counts.excess_at_cold_reset += excess;
  }
}

void TargetAdmission::ResetToCold(TimePoint now) {
  this->CountColdReset();
  this->ramp.ResetToCold(now);
}

void TargetAdmission::ApplyTargetState(TargetState state, TimePoint now) {
  if (state == TargetState::kLeaving) {
    this->target_leaving = true;
  }
  if (state == TargetState::kCold) {
    this->ResetToCold(now);
  }
}

// A broken or refused connection is the first evidence of an unannounced
// restart of the target. A failure to reuse an idle connection that the target
// has closed is not reported here; the connection is reopened first.
void TargetAdmission::OnConnectionFailure(TimePoint now) {
  ++this->counts.lost_connections;
  this->BackOff(now);
  if (this->consecutive_failures == this->options.failures_before_reset) {
    this->ResetToCold(now);
  }
}

// Without a pause, attempts would be sent in a tight loop to a target that
// sheds or disconnects each of them at once, which would use up the queue
// within milliseconds.
void TargetAdmission::BackOff(TimePoint now) {
  this->adaptive_limit.OnOverload(now);
  ++this->consecutive_failures;
  Duration backoff = this->options.failure_backoff;
  for (uint32_t i = 1; i < this->consecutive_failures; ++i) {
    if (backoff >= this->options.max_failure_backoff) {
      break;
    }
    backoff *= 2;
  }
  backoff = std::min(backoff, this->options.max_failure_backoff);
  this->backoff_until = now + backoff;
}

void TargetAdmission::OnSuccess(const RunningAttempt& running,
                                Duration latency,
                                TimePoint now) {
  ++this->counts.succeeded;
  this->consecutive_failures = 0;
  this->adaptive_limit.OnSuccess(latency, now);
  const Duration clipped = std::min<Duration>(
      latency, this->mean_service_time * kMaxServiceTimeFactor);
  this->mean_service_time +=
      (clipped - this->mean_service_time) / kServiceTimeDivisor;
  const uint64_t epoch = this->ramp.epoch();
  const bool was_warm = !this->ramp.cold();
  this->ramp.OnSuccess(latency, running.epoch, now);
  if (was_warm && this->ramp.epoch() != epoch) {
    ++this->counts.cold_resets;
  }
}

}  // namespace knapweedroad
