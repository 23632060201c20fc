#include "knapweedroad/rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Entry hosts report more often from this long before the full phase on.
constexpr Duration kFrequentReportLead = milliseconds(600);
// The time needed to evaluate the full phase.
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
// A host that hasn't reported for this long need not confirm, and an owner that
// took over doesn't wait for its counts.
constexpr Duration kReporterTimeout = milliseconds(1200);
// The owner that got the order starts within this time of it.
constexpr Duration kFirstOwnerDelay = milliseconds(250);
// The longest time to wait for attempts in flight on the stable version.
constexpr Duration kDrainTimeout = milliseconds(1500);
// A rollout that still lacks targets or clear evidence is rolled back this long
// after the deadline, or after its duration if longer.
constexpr Duration kMinOvertime = seconds(10);
// The candidate answers without which a rollout ends for lack of evidence: as
// many as VersionComparisonOptions::min_support takes.
constexpr size_t kMinEvidenceAnswers = 5;
// A rollout without enough evidence ends this long after the deadline, so that
// answers to the last requests before it are reported.
constexpr Duration kEvidenceGrace = milliseconds(500);
// The time that a candidate gets for its answers, counted from when it could
// last get no requests: it has no warm targets, or the owner is new or has no
// quorum. Limited to the rollout's duration.
constexpr Duration kMinEvidenceTime = seconds(3);
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kFrequentReportInterval = milliseconds(50);
// The validity of a directive in the canary phase and in the full phase.
constexpr int64_t kDirectiveValidMs = 1500;
constexpr int64_t kFullDirectiveValidMs = 800;
// The validity of a directive in the draining phase. It is longer than the wait
// for a silent host plus the distribution of the decision, so that a host that
// has confirmed doesn't return to the stable version in between.
constexpr int64_t kDrainDirectiveValidMs = 3000;

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
      reachable_since(now),
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
  const auto [found, is_new] = this->reporters.try_emplace(host);
  Reporter& reporter = found->second;
  if (is_new) {
    // The host's attempts since the order, which an owner that took over must
    // not take for those of the last moment.
    this->sent_at_measurement += progress.sent;
  }
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

bool RolloutController::KnowsAllCounts(const FleetState& fleet,
                                       TimePoint now) const {
  const bool took_over =
      this->started_at - this->options.ordered_at > kFirstOwnerDelay;
  return !took_over || now - this->started_at > kReporterTimeout ||
         std::ranges::all_of(fleet.entry_hosts, [&](const HostId& host) {
           return this->reporters.contains(host);
         });
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

bool RolloutController::IsOvertimeOver(TimePoint now) const {
  return now >= this->options.deadline +
                    std::max<Duration>(kMinOvertime, this->duration());
}

bool RolloutController::LacksEvidence(const FleetState& fleet,
                                      TimePoint now) const {
  const TimePoint evidence_due =
      std::max(this->options.deadline + kEvidenceGrace,
               this->reachable_since +
                   std::min<Duration>(kMinEvidenceTime, this->duration()));
  return now >= evidence_due && this->HasCandidateCapacity(fleet) &&
         fleet.may_expose && this->version_comparison.is_evidence_weak() &&
         this->version_comparison.candidate_answers() < kMinEvidenceAnswers;
}

void RolloutController::TickCanary(const FleetState& fleet, TimePoint now) {
  if (this->CanEnterFullPhase(fleet, now)) {
    this->answers_before_full = this->version_comparison.candidate_answers();
    this->version_comparison.SetStableFrozen(true);
    this->EnterPhase(RolloutPhase::kFull, now);
    this->SetDirective(kAllPermille, /*allows_stable=*/true);
    return;
  }
  if (this->IsOvertimeOver(now)) {
    this->Decide(RolloutState::kRolledBack, this->HasCandidateCapacity(fleet)
                                                ? "in_doubt"
                                                : "too_few_targets");
    return;
  }
  this->UpdateCanaryShare(fleet, now);
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
  const Duration phase_duration = now - this->phase_entered_at;
  if (!this->version_comparison.is_evidence_weak() ||
      !this->version_comparison.is_evidence_sufficient()) {
    const bool had_requests =
        fleet.may_expose && now - this->reachable_since >= kMinEvidenceTime;
    if (this->IsOvertimeOver(now) && phase_duration >= kMinEvidenceTime &&
        had_requests) {
      this->Decide(RolloutState::kRolledBack, "in_doubt");
    }
    return;
  }
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
  if (!this->HasCandidateCapacity(fleet) || !fleet.may_expose) {
    this->reachable_since = now;
  }
  if (this->current_phase != RolloutPhase::kDraining &&
      this->LacksEvidence(fleet, now)) {
    this->Decide(RolloutState::kRolledBack, "no_evidence");
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
