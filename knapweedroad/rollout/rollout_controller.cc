#include "knapweedroad/rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The fraction of the exposure bound that is planned with. The rest covers
// attempts that haven't been reported yet.
constexpr double kUsableExposureFraction = 0.92;
// The largest fraction of the exposure limit that is reserved for the full
// phase. The canary phase uses the rest.
constexpr double kMaxFullPhaseFraction = 0.75;
// The maximum number of attempts on the candidate in the canary phase. They
// give enough evidence, and each attempt less lengthens the full phase.
constexpr double kMaxCanaryAttempts = 50;
// The canary share while the request rate isn't known, and its maximum.
constexpr double kInitialCanaryShare = 0.03;
constexpr double kMaxCanaryShare = 0.5;
// A new canary share is sent if it differs from the current one by more than
// this fraction.
constexpr double kMinShareChange = 0.25;
// The remaining canary attempts are spread over at least this time.
constexpr double kMinCanarySpreadSeconds = 0.3;
// The full phase starts this long before the deadline, plus the time that its
// answers take at the expected rate. Both together are limited to this fraction
// of the rollout's duration, which matters for low rates.
constexpr Duration kFullPhaseLead = milliseconds(1600);
constexpr double kMaxFullPhaseDurationFraction = 0.3;
// Seconds of requests whose retries also go to the candidate if it starts
// failing just before the deadline: the time to detect it, or what remains
// until the deadline.
constexpr double kRetryExposureSeconds = 0.2;
// Entry hosts report more often from this long before the full phase on.
constexpr Duration kFrequentReportLead = milliseconds(600);
// Standard deviations by which a count may exceed its expected value.
constexpr double kCountDeviations = 2;
// The candidate answers needed to leave the canary phase, unless this fraction
// of the rollout's duration has passed.
constexpr size_t kMinCanaryAnswers = 10;
constexpr double kLateCanaryFraction = 0.8;
// The candidate answers and the time needed to evaluate the full phase.
constexpr size_t kMinFullPhaseAnswers = 20;
constexpr Duration kMinFullPhaseDuration = milliseconds(300);
// The full phase ends this long before the deadline, to leave time for the
// confirmations of the entry hosts and the agreement of the control hosts.
constexpr Duration kDrainLead = milliseconds(450);
// After this time the full phase may end with fewer answers.
constexpr Duration kMaxFullPhaseWait = milliseconds(1000);
// The candidate's slots needed, relative to those of the stable version.
constexpr double kMinCandidateSlotRatio = 0.6;
// The bad answers from which on any evidence that isn't weak leads to a
// rollback.
constexpr size_t kDecisiveBadAnswers = 40;
// A host that hasn't reported for this long need not confirm.
constexpr Duration kReporterTimeout = milliseconds(1200);
// The longest time to wait for attempts in flight on the stable version.
constexpr Duration kDrainTimeout = milliseconds(1500);
// A rollout still in the canary phase, for lack of targets or of clear
// evidence, is rolled back this long after the deadline, or after its duration
// if longer.
constexpr Duration kMinOvertime = seconds(10);
// The interval between updates of the request rate, and the weight of the
// newest interval in it.
constexpr Duration kRateWindow = milliseconds(300);
constexpr double kRateWeight = 0.3;
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kFrequentReportInterval = milliseconds(50);
// The validity of a directive in the canary phase and in the full phase.
constexpr int64_t kDirectiveValidMs = 1500;
constexpr int64_t kFullDirectiveValidMs = 800;
// The validity of a directive in the draining phase. It is longer than the wait
// for a silent host plus the distribution of the decision, so that a host that
// has confirmed doesn't return to the stable version in between.
constexpr int64_t kDrainDirectiveValidMs = 3000;
constexpr uint32_t kAllPermille = 1000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns a count that is rarely exceeded, given its expected value.
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
  // Starts the sequence at the age of the rollout in milliseconds, so that the
  // directives of a later owner get higher numbers than those of the previous
  // one.
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
  // A restarted host counts from zero.
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
  // The mean is the better estimate when recent counts are low, and the recent
  // rate when the rate is rising. Assumes the higher one.
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

// Starts no earlier than the answers and the confirmations require. The canary
// phase detects a candidate that starts failing late at less exposure.
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
  // The limit if no further request arrived, so that the bound holds at any
  // time.
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
    // Past the deadline the candidate still needs requests, to resolve what has
    // delayed the decision.
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
    // The host is down or unreachable.
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
