#include "knapweedroad/rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Kept of the exposure bound for what reports don't tell yet.
constexpr double kUsableExposureFraction = 0.92;
// The most of it that is set aside for the time under full load; the canary
// spends the rest.
constexpr double kMaxFullPhaseFraction = 0.75;
// Requests that the canary is to have at the most: they tell enough, and the
// time under full load is the longer for each one less.
constexpr double kMaxCanaryAttempts = 50;
// Share of the requests while their rate isn't known yet, and the most.
constexpr double kInitialCanaryShare = 0.03;
constexpr double kMaxCanaryShare = 0.5;
// A new share is told if it differs by more than this part.
constexpr double kMinShareChange = 0.25;
// What the canary is to spend is spread over this many seconds at the least.
constexpr double kMinCanarySpreadSeconds = 0.3;
// Full load is to begin in time for its answers and, beside that, this long
// before the deadline; and for a low rate this part of the duration at most.
constexpr Duration kFullPhaseLead = milliseconds(1600);
constexpr double kMaxFullPhaseDurationFraction = 0.3;
// Seconds of requests whose retries go to the candidate as well if it turns bad
// at the very end: what it takes to notice, and the rest until the deadline.
constexpr double kRetryExposureSeconds = 0.2;
// Entry hosts report more often from this long before that on.
constexpr Duration kFrequentReportLead = milliseconds(600);
// How far a count may exceed what is expected, in standard deviations.
constexpr double kCountDeviations = 2;
// Answers that the canary needs, unless so much of the duration is over.
constexpr size_t kMinCanaryAnswers = 10;
constexpr double kLateCanaryFraction = 0.8;
// Under full load: answers and time that show how the candidate does.
constexpr size_t kMinFullPhaseAnswers = 20;
constexpr Duration kMinFullPhaseDuration = milliseconds(300);
// From the end of that until the deadline: confirmations and an agreement.
constexpr Duration kDrainLead = milliseconds(450);
// With fewer answers in this time it goes on without them.
constexpr Duration kMaxFullPhaseWait = milliseconds(1000);
// Slots that a candidate needs, of those of the stable version.
constexpr double kMinCandidateSlotRatio = 0.6;
// Bad answers after which doubt is enough.
constexpr size_t kDecisiveBadAnswers = 40;
// A host that hasn't reported for this long isn't waited for.
constexpr Duration kReporterTimeout = milliseconds(1200);
// What still runs at the stable version is waited for at most this long.
constexpr Duration kDrainTimeout = milliseconds(1500);
// After the deadline: without targets, or in doubt, it is rolled back.
constexpr Duration kMinOvertime = seconds(10);
constexpr Duration kRateWindow = milliseconds(300);
constexpr double kRateWeight = 0.3;
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kFrequentReportInterval = milliseconds(50);
constexpr int64_t kDirectiveValidMs = 1500;
constexpr int64_t kFullDirectiveValidMs = 800;
// Longer than a host is waited for and the news of the end takes: a host that
// has confirmed doesn't go back to the stable version meanwhile.
constexpr int64_t kDrainDirectiveValidMs = 3000;
constexpr uint32_t kAllPermille = 1000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// A count that is hardly ever exceeded, of its expected value.
double UpperCountBound(double expected) {
  return expected + kCountDeviations * std::sqrt(expected);
}

}  // namespace

std::string_view ToString(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kCanary:
      return "canary";
    case RolloutPhase::kFull:
      return "full";
    case RolloutPhase::kDraining:
      return "sealing";
    case RolloutPhase::kEnded:
      return "ended";
  }
  return "unknown";
}

RolloutController::RolloutController(RolloutControllerOptions options,
                                     TimePoint now)
    : options(std::move(options)),
      version_comparison(this->options.comparison),
      started_at(now),
      rate_measured_at(now),
      phase_entered_at(now) {
  this->current_directive.service = this->options.record.service;
  this->current_directive.rollout_number = this->options.record.number;
  // A later owner's directives are newer than those of the one before.
  this->current_directive.sequence = static_cast<uint64_t>(
      std::max<int64_t>(0, (now - this->options.ordered_at) / milliseconds(1)));
  this->SetDirective(0, /*allows_stable=*/true);
}

void RolloutController::SetDirective(uint32_t candidate_permille,
                                     bool allows_stable) {
  ++this->current_directive.sequence;
  this->current_directive.candidate_permille = candidate_permille;
  this->current_directive.allows_stable = allows_stable;
  this->current_directive.valid_ms = candidate_permille == kAllPermille
                                         ? kFullDirectiveValidMs
                                         : kDirectiveValidMs;
  if (!allows_stable) {
    this->current_directive.valid_ms = kDrainDirectiveValidMs;
  }
  this->confirmed_at.reset();
}

void RolloutController::EnterPhase(RolloutPhase phase, TimePoint now) {
  this->current_phase = phase;
  this->phase_entered_at = now;
}

void RolloutController::Decide(RolloutState state, std::string_view cause) {
  this->current_phase = RolloutPhase::kEnded;
  this->final_decision = RolloutDecision{.state = state, .cause = cause};
  if (state == RolloutState::kRolledBack) {
    this->SetDirective(0, /*allows_stable=*/true);
  }
}

Duration RolloutController::ReportInterval(TimePoint now) const {
  const bool is_frequent =
      this->current_phase == RolloutPhase::kFull ||
      this->current_phase == RolloutPhase::kDraining ||
      (this->current_phase == RolloutPhase::kCanary &&
       now >= this->FullPhaseStart() - kFrequentReportLead);
  return is_frequent ? kFrequentReportInterval : kReportInterval;
}

void RolloutController::OnReport(const HostId& host,
                                 uint64_t epoch,
                                 const RolloutProgress& progress,
                                 bool is_repeated,
                                 TimePoint now) {
  if (progress.rollout_number != this->options.record.number) {
    return;
  }
  Reporter& reporter = this->reporters[host];
  // A host that has started anew counts from zero.
  const AttemptCounts before =
      reporter.epoch == epoch ? reporter.counts : AttemptCounts();
  this->totals.sent += progress.sent - std::min(progress.sent, before.sent);
  this->totals.to_candidate +=
      progress.sent_to_candidate -
      std::min(progress.sent_to_candidate, before.to_candidate);
  reporter.epoch = epoch;
  reporter.counts = {.sent = progress.sent,
                     .to_candidate = progress.sent_to_candidate};
  reporter.directive_sequence = progress.directive_sequence;
  reporter.stable_in_flight = progress.stable_in_flight;
  reporter.last_report_at = now;
  if (is_repeated) {
    return;
  }
  for (const AnswerSamples& samples : progress.answers) {
    this->version_comparison.Add(samples, now);
  }
}

void RolloutController::UpdateRate(TimePoint now) {
  const Duration elapsed = now - this->rate_measured_at;
  if (elapsed < kRateWindow) {
    return;
  }
  const double measured_rate =
      static_cast<double>(this->totals.sent - this->sent_at_measurement) /
      Seconds(elapsed);
  this->recent_rate =
      this->recent_rate <= 0
          ? measured_rate
          : this->recent_rate * (1 - kRateWeight) + measured_rate * kRateWeight;
  // Recent counts of few requests say little, and a rising rate more than the
  // mean.
  const double mean_rate = static_cast<double>(this->totals.sent) /
                           std::max(1e-3, Seconds(now - this->started_at));
  this->expected_rate = std::max(mean_rate, this->recent_rate);
  this->sent_at_measurement = this->totals.sent;
  this->rate_measured_at = now;
}

double RolloutController::ExposureLimit(TimePoint now) const {
  const double remaining_s =
      std::max(0.0, Seconds(this->options.deadline - now));
  const double requests = static_cast<double>(this->totals.sent) +
                          this->expected_rate * remaining_s;
  return kUsableExposureFraction * (this->options.exposure.share * requests +
                                    this->options.exposure.slack);
}

bool RolloutController::IsCandidateWorse() const {
  return this->version_comparison.is_worse() ||
         (!this->version_comparison.is_evidence_weak() &&
          this->version_comparison.candidate_bad_answers() >=
              kDecisiveBadAnswers);
}

bool RolloutController::HasCandidateCapacity(const FleetState& fleet) const {
  return fleet.candidate_slots > 0 &&
         static_cast<double>(fleet.candidate_slots) >=
             kMinCandidateSlotRatio * static_cast<double>(fleet.stable_slots);
}

// Not before its answers and the confirmations that follow need it: what turns
// bad late is found, and little is exposed to it, in the canary.
TimePoint RolloutController::FullPhaseStart() const {
  const Duration answer_time =
      this->expected_rate <= 0
          ? this->duration()
          : Duration(static_cast<int64_t>(kMinFullPhaseAnswers /
                                          this->expected_rate * 1e9));
  const auto max_lead = std::chrono::duration_cast<Duration>(
      this->duration() * kMaxFullPhaseDurationFraction);
  return this->options.deadline -
         std::min(answer_time + kFullPhaseLead, max_lead);
}

bool RolloutController::CanEnterFullPhase(const FleetState& fleet,
                                          TimePoint now) const {
  if (!this->HasCandidateCapacity(fleet) ||
      !this->version_comparison.is_evidence_weak() ||
      now < this->FullPhaseStart()) {
    return false;
  }
  const double remaining_s = Seconds(this->options.deadline - now);
  if (remaining_s <= 0) {
    return true;
  }
  const double elapsed_fraction =
      1 - remaining_s / std::max(1e-3, Seconds(this->duration()));
  const bool has_answers =
      this->version_comparison.candidate_answers() >= kMinCanaryAnswers ||
      elapsed_fraction >= kLateCanaryFraction;
  const double exposed = static_cast<double>(this->totals.to_candidate) +
                         UpperCountBound(this->expected_rate *
                                         (remaining_s + kRetryExposureSeconds));
  return has_answers && exposed <= this->ExposureLimit(now);
}

void RolloutController::UpdateCanaryShare(TimePoint now) {
  const double exposed = static_cast<double>(this->totals.to_candidate);
  const double remaining_s = Seconds(this->options.deadline - now);
  // As if no further request came: the bound holds at every moment.
  const double exposure_limit_now =
      kUsableExposureFraction *
      (this->options.exposure.share * static_cast<double>(this->totals.sent) +
       this->options.exposure.slack);
  double share = kInitialCanaryShare;
  if (this->expected_rate > 0 && remaining_s > 0) {
    const double exposure_limit = this->ExposureLimit(now);
    const double full_phase_attempts =
        UpperCountBound(this->expected_rate * Seconds(kFullPhaseLead));
    const double canary_attempts = std::min(
        exposure_limit - std::min(full_phase_attempts,
                                  kMaxFullPhaseFraction * exposure_limit),
        kMaxCanaryAttempts);
    const double canary_remaining_s = std::max(
        Seconds(this->FullPhaseStart() - now), kMinCanarySpreadSeconds);
    share = std::max(0.0, canary_attempts - exposed) /
            (this->expected_rate * canary_remaining_s);
  }
  share = std::min(share, kMaxCanaryShare);
  if (remaining_s <= 0) {
    // What kept it from its end is still to be found out.
    share = this->options.exposure.share;
  } else if (exposed >= exposure_limit_now) {
    share = 0;
  }
  const double current_share =
      this->current_directive.candidate_permille / double{kAllPermille};
  if (std::abs(share - current_share) > kMinShareChange * current_share) {
    this->SetDirective(static_cast<uint32_t>(std::lround(share * kAllPermille)),
                       /*allows_stable=*/true);
  }
}

void RolloutController::TickCanary(const FleetState& fleet, TimePoint now) {
  if (this->CanEnterFullPhase(fleet, now)) {
    this->answers_before_full = this->version_comparison.candidate_answers();
    this->version_comparison.SetStableFrozen(true);
    this->EnterPhase(RolloutPhase::kFull, now);
    this->SetDirective(kAllPermille, /*allows_stable=*/true);
    return;
  }
  const Duration overtime = std::max(kMinOvertime, this->duration());
  if (now >= this->options.deadline + overtime) {
    this->Decide(RolloutState::kRolledBack, this->HasCandidateCapacity(fleet)
                                                ? "in_doubt"
                                                : "too_few_targets");
    return;
  }
  this->UpdateCanaryShare(now);
}

void RolloutController::TickFull(const FleetState& fleet, TimePoint now) {
  const bool is_over_bound = now<this->options.deadline&& static_cast<double>(
      this->totals.to_candidate)> this->ExposureLimit(now);
  if (is_over_bound || !this->HasCandidateCapacity(fleet)) {
    this->version_comparison.SetStableFrozen(false);
    this->EnterPhase(RolloutPhase::kCanary, now);
    this->SetDirective(0, /*allows_stable=*/true);
    return;
  }
  if (!this->version_comparison.is_evidence_weak()) {
    return;
  }
  const Duration phase_duration = now - this->phase_entered_at;
  const size_t phase_answers =
      this->version_comparison.candidate_answers() - this->answers_before_full;
  const bool is_drain_due = now >= this->options.deadline - kDrainLead;
  if (is_drain_due && ((phase_duration >= kMinFullPhaseDuration &&
                        phase_answers >= kMinFullPhaseAnswers) ||
                       phase_duration >= kMaxFullPhaseWait)) {
    this->EnterPhase(RolloutPhase::kDraining, now);
    this->SetDirective(kAllPermille, /*allows_stable=*/false);
  }
}

void RolloutController::TickDraining(const FleetState& fleet, TimePoint now) {
  if (!this->confirmed_at && this->IsDirectiveConfirmed(fleet, now)) {
    this->confirmed_at = now;
  }
  const bool is_within_timeout = now - this->phase_entered_at < kDrainTimeout;
  if (this->confirmed_at && (this->IsStableIdle() || !is_within_timeout)) {
    this->Decide(RolloutState::kCompleted, "as_good");
  }
}

void RolloutController::Tick(const FleetState& fleet, TimePoint now) {
  if (this->final_decision) {
    return;
  }
  this->UpdateRate(now);
  if (this->IsCandidateWorse()) {
    this->Decide(RolloutState::kRolledBack, "worse");
    return;
  }
  switch (this->current_phase) {
    case RolloutPhase::kCanary:
      this->TickCanary(fleet, now);
      return;
    case RolloutPhase::kFull:
      this->TickFull(fleet, now);
      return;
    case RolloutPhase::kDraining:
      this->TickDraining(fleet, now);
      return;
    case RolloutPhase::kEnded:
      return;
  }
}

bool RolloutController::IsDirectiveConfirmed(const FleetState& fleet,
                                             TimePoint now) const {
  return std::ranges::all_of(fleet.entry_hosts, [&](const HostId& host) {
    const auto found = this->reporters.find(host);
    const TimePoint last_report_at = found == this->reporters.end()
                                         ? TimePoint()
                                         : found->second.last_report_at;
    // It is down or cut off.
    if (now - std::max(last_report_at, this->phase_entered_at) >
        kReporterTimeout) {
      return true;
    }
    return found != this->reporters.end() &&
           found->second.directive_sequence == this->current_directive.sequence;
  });
}

bool RolloutController::IsStableIdle() const {
  return std::ranges::all_of(this->reporters, [](const auto& entry) {
    return entry.second.stable_in_flight == 0;
  });
}

}  // namespace knapweedroad
