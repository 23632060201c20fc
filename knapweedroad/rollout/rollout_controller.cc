#include "knapweedroad/rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Kept of the exposure bound for what reports don't tell yet.
constexpr double kBoundUsed = 0.92;
// The most of it that is set aside for the time under full load; the canary
// spends the rest.
constexpr double kMostFullPart = 0.75;
// Requests that the canary is to have at the most: they tell enough, and the
// time under full load is the longer for each one less.
constexpr double kMostCanary = 50;
// Share of the requests while their rate isn't known yet, and the most.
constexpr double kFirstShare = 0.03;
constexpr double kMostShare = 0.5;
// A new share is told if it differs by more than this part.
constexpr double kShareStep = 0.25;
// What the canary is to spend is spread over this many seconds at the least.
constexpr double kLeastCanaryLeft = 0.3;
// Full load is to begin in time for its answers and, beside that, this long
// before the deadline; and for a low rate this part of the duration at most.
constexpr Duration kFullLead = milliseconds(1600);
constexpr double kMostFull = 0.3;
// Seconds of requests whose retries go to the candidate as well if it turns bad
// at the very end: what it takes to notice, and the rest until the deadline.
constexpr double kRetriedSpan = 0.2;
// Entry hosts report more often from this long before that on.
constexpr Duration kQuickLead = milliseconds(600);
// How far a count may exceed what is expected, in standard deviations.
constexpr double kCountSpread = 2;
// Answers that the canary needs, unless so much of the duration is over.
constexpr size_t kCanaryAnswers = 10;
constexpr double kLateCanary = 0.8;
// Under full load: answers and time that show how the candidate does.
constexpr size_t kFullAnswers = 20;
constexpr Duration kFullTime = milliseconds(300);
// From the end of that until the deadline: confirmations and an agreement.
constexpr Duration kSealLead = milliseconds(450);
// With fewer answers in this time it goes on without them.
constexpr Duration kFullPatience = milliseconds(1000);
// Slots that a candidate needs, of those of the stable version.
constexpr double kLeastRoom = 0.6;
// Bad answers after which doubt is enough.
constexpr size_t kMostBadInDoubt = 40;
// A host that hasn't reported for this long isn't waited for.
constexpr Duration kReporterLost = milliseconds(1200);
// What still runs at the stable version is waited for at most this long.
constexpr Duration kSealPatience = milliseconds(1500);
// After the deadline: without targets, or in doubt, it is rolled back.
constexpr Duration kLeastOvertime = seconds(10);
constexpr Duration kRateWindow = milliseconds(300);
constexpr double kRateWeight = 0.3;
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kQuickReportInterval = milliseconds(50);
constexpr int64_t kValidMs = 1500;
constexpr int64_t kFullValidMs = 800;
// Longer than a host is waited for and the news of the end takes: a host that
// has confirmed doesn't go back to the stable version meanwhile.
constexpr int64_t kSealValidMs = 3000;
constexpr uint32_t kAll = 1000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// A count that is hardly ever exceeded, of its expected value.
double AtMost(double expected) {
  return expected + kCountSpread * std::sqrt(expected);
}

}  // namespace

std::string_view ToString(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kCanary:
      return "canary";
    case RolloutPhase::kFull:
      return "full";
    case RolloutPhase::kSealing:
      return "sealing";
    case RolloutPhase::kEnded:
      return "ended";
  }
  return "unknown";
}

RolloutController::RolloutController(RolloutControllerOptions options,
                                     TimePoint now)
    : options(std::move(options)),
      answers(this->options.comparison),
      started(now),
      measured_at(now),
      entered(now) {
  this->told.service = this->options.record.service;
  this->told.number = this->options.record.number;
  // A later owner's directives are newer than those of the one before.
  this->told.directive = static_cast<uint64_t>(
      std::max<int64_t>(0, (now - this->options.ordered) / milliseconds(1)));
  this->Direct(0, /*allows_stable=*/true);
}

void RolloutController::Direct(uint32_t candidate_permille,
                               bool allows_stable) {
  ++this->told.directive;
  this->told.candidate_permille = candidate_permille;
  this->told.allows_stable = allows_stable;
  this->told.valid_ms = candidate_permille == kAll ? kFullValidMs : kValidMs;
  if (!allows_stable) {
    this->told.valid_ms = kSealValidMs;
  }
  this->confirmed.reset();
}

void RolloutController::Enter(RolloutPhase phase, TimePoint now) {
  this->current = phase;
  this->entered = now;
}

void RolloutController::End(RolloutState state, std::string_view cause) {
  this->current = RolloutPhase::kEnded;
  this->ended = RolloutEnd{.state = state, .cause = cause};
  if (state == RolloutState::kRolledBack) {
    this->Direct(0, /*allows_stable=*/true);
  }
}

Duration RolloutController::ReportInterval(TimePoint now) const {
  const bool is_quick = this->current == RolloutPhase::kFull ||
                        this->current == RolloutPhase::kSealing ||
                        (this->current == RolloutPhase::kCanary &&
                         now >= this->FullWanted() - kQuickLead);
  return is_quick ? kQuickReportInterval : kReportInterval;
}

void RolloutController::OnReport(const HostId& host,
                                 uint64_t epoch,
                                 const RolloutProgress& progress,
                                 bool repeated,
                                 TimePoint now) {
  if (progress.number != this->options.record.number) {
    return;
  }
  Reporter& reporter = this->reporters[host];
  // A host that has started anew counts from zero.
  const Counts before = reporter.epoch == epoch ? reporter.counts : Counts();
  this->totals.sent += progress.sent - std::min(progress.sent, before.sent);
  this->totals.to_candidate +=
      progress.sent_to_candidate -
      std::min(progress.sent_to_candidate, before.to_candidate);
  reporter.epoch = epoch;
  reporter.counts = {.sent = progress.sent,
                     .to_candidate = progress.sent_to_candidate};
  reporter.directive = progress.directive;
  reporter.stable_in_flight = progress.stable_in_flight;
  reporter.heard = now;
  if (repeated) {
    return;
  }
  for (const AnswerSamples& group : progress.answers) {
    this->answers.Add(group, now);
  }
}

void RolloutController::MeasureRate(TimePoint now) {
  const Duration span = now - this->measured_at;
  if (span < kRateWindow) {
    return;
  }
  const double seen =
      static_cast<double>(this->totals.sent - this->measured_sent) /
      Seconds(span);
  this->recent_rate =
      this->recent_rate <= 0
          ? seen
          : this->recent_rate * (1 - kRateWeight) + seen * kRateWeight;
  // Recent counts of few requests say little, and a rising rate more than the
  // mean.
  const double mean = static_cast<double>(this->totals.sent) /
                      std::max(1e-3, Seconds(now - this->started));
  this->rate = std::max(mean, this->recent_rate);
  this->measured_sent = this->totals.sent;
  this->measured_at = now;
}

double RolloutController::Allowed(TimePoint now) const {
  const double left = std::max(0.0, Seconds(this->options.deadline - now));
  const double requests =
      static_cast<double>(this->totals.sent) + this->rate * left;
  return kBoundUsed * (this->options.exposure.share * requests +
                       this->options.exposure.slack);
}

bool RolloutController::IsWorse() const {
  return this->answers.is_worse() ||
         (!this->answers.is_clear() &&
          this->answers.candidate_bad() >= kMostBadInDoubt);
}

bool RolloutController::HasRoom(const RolloutView& view) const {
  return view.candidate_slots > 0 &&
         static_cast<double>(view.candidate_slots) >=
             kLeastRoom * static_cast<double>(view.stable_slots);
}

// Not before its answers and the confirmations that follow need it: what turns
// bad late is found, and little is exposed to it, in the canary.
TimePoint RolloutController::FullWanted() const {
  const Duration by_answers =
      this->rate <= 0
          ? this->duration()
          : Duration(static_cast<int64_t>(kFullAnswers / this->rate * 1e9));
  const auto most =
      std::chrono::duration_cast<Duration>(this->duration() * kMostFull);
  return this->options.deadline - std::min(by_answers + kFullLead, most);
}

bool RolloutController::MayGoFull(const RolloutView& view,
                                  TimePoint now) const {
  if (!this->HasRoom(view) || !this->answers.is_clear() ||
      now < this->FullWanted()) {
    return false;
  }
  const double left = Seconds(this->options.deadline - now);
  if (left <= 0) {
    return true;
  }
  const double passed = 1 - left / std::max(1e-3, Seconds(this->duration()));
  const bool has_answers =
      this->answers.candidate_answers() >= kCanaryAnswers ||
      passed >= kLateCanary;
  const double exposed = static_cast<double>(this->totals.to_candidate) +
                         AtMost(this->rate * (left + kRetriedSpan));
  return has_answers && exposed <= this->Allowed(now);
}

void RolloutController::SetCanaryShare(TimePoint now) {
  const double exposed = static_cast<double>(this->totals.to_candidate);
  const double left = Seconds(this->options.deadline - now);
  // As if no further request came: the bound holds at every moment.
  const double allowed_now =
      kBoundUsed *
      (this->options.exposure.share * static_cast<double>(this->totals.sent) +
       this->options.exposure.slack);
  double share = kFirstShare;
  if (this->rate > 0 && left > 0) {
    const double allowed = this->Allowed(now);
    const double full = AtMost(this->rate * Seconds(kFullLead));
    const double canary = std::min(
        allowed - std::min(full, kMostFullPart * allowed), kMostCanary);
    const double canary_left =
        std::max(Seconds(this->FullWanted() - now), kLeastCanaryLeft);
    share = std::max(0.0, canary - exposed) / (this->rate * canary_left);
  }
  share = std::min(share, kMostShare);
  if (left <= 0) {
    // What kept it from its end is still to be found out.
    share = this->options.exposure.share;
  } else if (exposed >= allowed_now) {
    share = 0;
  }
  const double told = this->told.candidate_permille / double{kAll};
  if (std::abs(share - told) > kShareStep * told) {
    this->Direct(static_cast<uint32_t>(std::lround(share * kAll)),
                 /*allows_stable=*/true);
  }
}

void RolloutController::TickCanary(const RolloutView& view, TimePoint now) {
  if (this->MayGoFull(view, now)) {
    this->answers_before_full = this->answers.candidate_answers();
    this->answers.FreezeStable(true);
    this->Enter(RolloutPhase::kFull, now);
    this->Direct(kAll, /*allows_stable=*/true);
    return;
  }
  const Duration overtime = std::max(kLeastOvertime, this->duration());
  if (now >= this->options.deadline + overtime) {
    this->End(RolloutState::kRolledBack,
              this->HasRoom(view) ? "in_doubt" : "too_few_targets");
    return;
  }
  this->SetCanaryShare(now);
}

void RolloutController::TickFull(const RolloutView& view, TimePoint now) {
  const bool is_over_bound = now<this->options.deadline&& static_cast<double>(
      this->totals.to_candidate)> this->Allowed(now);
  if (is_over_bound || !this->HasRoom(view)) {
    this->answers.FreezeStable(false);
    this->Enter(RolloutPhase::kCanary, now);
    this->Direct(0, /*allows_stable=*/true);
    return;
  }
  if (!this->answers.is_clear()) {
    return;
  }
  const Duration lasted = now - this->entered;
  const size_t seen =
      this->answers.candidate_answers() - this->answers_before_full;
  const bool is_time = now >= this->options.deadline - kSealLead;
  if (is_time && ((lasted >= kFullTime && seen >= kFullAnswers) ||
                  lasted >= kFullPatience)) {
    this->Enter(RolloutPhase::kSealing, now);
    this->Direct(kAll, /*allows_stable=*/false);
  }
}

void RolloutController::TickSealing(const RolloutView& view, TimePoint now) {
  if (!this->confirmed && this->IsConfirmed(view, now)) {
    this->confirmed = now;
  }
  const bool is_patient = now - this->entered < kSealPatience;
  if (this->confirmed && (this->IsStableIdle() || !is_patient)) {
    this->End(RolloutState::kCompleted, "as_good");
  }
}

void RolloutController::Tick(const RolloutView& view, TimePoint now) {
  if (this->ended) {
    return;
  }
  this->MeasureRate(now);
  if (this->IsWorse()) {
    this->End(RolloutState::kRolledBack, "worse");
    return;
  }
  switch (this->current) {
    case RolloutPhase::kCanary:
      this->TickCanary(view, now);
      return;
    case RolloutPhase::kFull:
      this->TickFull(view, now);
      return;
    case RolloutPhase::kSealing:
      this->TickSealing(view, now);
      return;
    case RolloutPhase::kEnded:
      return;
  }
}

bool RolloutController::IsConfirmed(const RolloutView& view,
                                    TimePoint now) const {
  return std::ranges::all_of(view.entry_hosts, [&](const HostId& host) {
    const auto found = this->reporters.find(host);
    const TimePoint heard =
        found == this->reporters.end() ? TimePoint() : found->second.heard;
    // It is down or cut off.
    if (now - std::max(heard, this->entered) > kReporterLost) {
      return true;
    }
    return found != this->reporters.end() &&
           found->second.directive == this->told.directive;
  });
}

bool RolloutController::IsStableIdle() const {
  return std::ranges::all_of(this->reporters, [](const auto& entry) {
    return entry.second.stable_in_flight == 0;
  });
}

}  // namespace knapweedroad
