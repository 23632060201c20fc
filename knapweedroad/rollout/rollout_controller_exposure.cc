// Parts of RolloutController that limit how many requests the candidate gets.

#include <algorithm>
#include <cmath>

#include "knapweedroad/rollout/rollout_controller.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

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
// The maximum share if fewer requests than this are expected until the
// deadline. A smaller one leaves a version without enough answers too often; a
// larger one leaves the stable version without answers to compare with.
constexpr double kFewRequests = 20;
constexpr double kMaxCanaryShareOfFew = 0.8;
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
// Standard deviations by which a count may exceed its expected value.
constexpr double kCountDeviations = 2;
// The candidate answers needed to leave the canary phase, unless this fraction
// of the rollout's duration has passed.
constexpr size_t kMinCanaryAnswers = 10;
constexpr double kLateCanaryFraction = 0.8;
// The interval between updates of the request rate, and the weight of the
// newest interval in it.
constexpr Duration kRateWindow = milliseconds(300);
constexpr double kRateWeight = 0.3;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns a count that is rarely exceeded, given its expected value.
double UpperCountBound(double expected) {
  return expected + kCountDeviations * std::sqrt(expected);
}

}  // namespace

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
  const double mean_rate =
      static_cast<double>(this->totals.sent) /
      std::max(1e-3, Seconds(now - this->options.ordered_at));
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
  return has_answers && this->KnowsAllCounts(fleet, now) &&
         exposed <= this->ExposureLimit(now);
}

void RolloutController::UpdateCanaryShare(const FleetState& fleet,
                                          TimePoint now) {
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
  share = std::min(share, this->expected_rate * remaining_s < kFewRequests
                              ? kMaxCanaryShareOfFew
                              : kMaxCanaryShare);
  if (remaining_s <= 0) {
    // Past the deadline the candidate still needs requests, to resolve what has
    // delayed the decision.
    share = this->options.exposure.share;
  } else if (exposed >= exposure_limit_now ||
             !this->KnowsAllCounts(fleet, now)) {
    share = 0;
  }
  const double current_share =
      this->current_directive.candidate_permille / double{kAllPermille};
  if (std::abs(share - current_share) > kMinShareChange * current_share) {
    this->SetDirective(static_cast<uint32_t>(std::lround(share * kAllPermille)),
                       /*allows_stable=*/true);
  }
}

}  // namespace knapweedroad
