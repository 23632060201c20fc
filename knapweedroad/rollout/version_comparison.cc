#include "knapweedroad/rollout/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>

#include "knapweedroad/rollout/answer_sample.h"

namespace knapweedroad {
namespace {

// With fewer answers of the stable version its median is too uncertain, and no
// answer counts as slow.
constexpr double kMinAnswersForMedian = 4;
// The number of answers that the threshold is computed for when there are
// fewer.
constexpr size_t kMinAnswersForThreshold = 8;
// The support that an answer adds if the stable version fails so often that no
// worse version can be told from it. Equals that of a good answer otherwise.
constexpr double kSupportBesideFailingStable = 0.316;

}  // namespace

VersionComparison::VersionComparison(VersionComparisonOptions options)
    : options(options) {}

void VersionComparison::Add(const AnswerSamples& answers, TimePoint now) {
  RouteState& route = this->routes[answers.route];
  if (!answers.is_candidate) {
    if (!this->is_stable_frozen) {
      this->AddStable(route, answers, now);
    }
    return;
  }
  this->AddCandidate(route, answers);
}

void VersionComparison::Decay(StableHistory& stable, double factor) {
  for (double& count : stable.counts) {
    count *= factor;
  }
  stable.total *= factor;
}

void VersionComparison::UpdateSlowThreshold(StableHistory& stable) const {
  const double answered = stable.total - stable.counts[kFailedSample];
  stable.slow_threshold = kMaxLatencySample;
  if (answered >= kMinAnswersForMedian) {
    double cumulative = 0;
    size_t median_sample = 0;
    while (median_sample < kMaxLatencySample &&
           (cumulative += stable.counts[median_sample]) * 2 < answered) {
      ++median_sample;
    }
    const double slow_sample =
        static_cast<double>(median_sample) +
        kSampleStepsPerDoubling * std::log2(this->options.slow_factor);
    stable.slow_threshold = static_cast<uint8_t>(
        std::min<double>(std::ceil(slow_sample), kMaxLatencySample));
  }
  stable.bad_total = std::accumulate(
      stable.counts.begin() + stable.slow_threshold, stable.counts.end(), 0.0);
}

bool VersionComparison::IsBad(const StableHistory& stable, uint8_t sample) {
  return sample >= stable.slow_threshold && sample != kMaxLatencySample;
}

void VersionComparison::AddStable(RouteState& route,
                                  const AnswerSamples& answers,
                                  TimePoint now) {
  StableHistory& stable = route.stable;
  if (stable.decayed_at != TimePoint()) {
    Decay(stable,
          std::exp2(
              -std::chrono::duration<double>(now - stable.decayed_at) /
              std::chrono::duration<double>(this->options.stable_half_life)));
  }
  stable.decayed_at = now;
  const auto add_sample = [&](uint8_t sample) {
    stable.counts[sample] += 1;
    stable.total += 1;
  };
  for (const char sample : answers.samples) {
    add_sample(static_cast<uint8_t>(sample));
  }
  for (const char waited : answers.given_up) {
    if (IsBad(stable, static_cast<uint8_t>(waited))) {
      add_sample(static_cast<uint8_t>(waited));
    }
  }
  this->UpdateSlowThreshold(stable);
}

double VersionComparison::StableBadShare(const StableHistory& stable) const {
  // Adds one good answer to those counted, because the share of a few answers
  // is unreliable.
  const double share = stable.bad_total / (stable.total + 1);
  return std::max(share, this->options.min_stable_bad_share);
}

void VersionComparison::AddEvidence(Evidence& evidence,
                                    const TargetId& target,
                                    double log_likelihood_ratio) {
  // Before the first answer of a target, the sum without it equals the whole
  // sum.
  ++evidence.answers;
  evidence.sums_without_target.try_emplace(target, evidence.sum);
  evidence.sum = std::max(0.0, evidence.sum + log_likelihood_ratio);
  for (auto& [other, sum] : evidence.sums_without_target) {
    if (other != target) {
      sum = std::max(0.0, sum + log_likelihood_ratio);
    }
  }
}

double VersionComparison::SumWithoutWorstTarget(const Evidence& evidence) {
  if (evidence.sums_without_target.size() < 2) {
    return evidence.sum;
  }
  double min_sum = evidence.sum;
  for (const auto& [target, sum] : evidence.sums_without_target) {
    min_sum = std::min(min_sum, sum);
  }
  return min_sum;
}

double VersionComparison::EvidenceThreshold(const Evidence& evidence) const {
  return this->options.base_threshold +
         std::log(static_cast<double>(
             std::max(evidence.answers, kMinAnswersForThreshold)));
}

void VersionComparison::CountCandidateAnswer(RouteState& route,
                                             const TargetId& target,
                                             bool is_bad) {
  ++route.candidate_answers;
  ++this->candidate_total;
  route.candidate_bad_answers += is_bad ? 1 : 0;
  this->candidate_bad_total += is_bad ? 1 : 0;
  const double stable_bad_share = this->StableBadShare(route.stable);
  const double worse_bad_share = std::clamp(
      stable_bad_share * this->options.worse_factor,
      this->options.min_worse_bad_share, this->options.max_worse_bad_share);
  if (worse_bad_share <= stable_bad_share) {
    // The stable version fails nearly always, so that no answer speaks against
    // the candidate.
    this->support += kSupportBesideFailingStable;
    return;
  }
  const double log_likelihood_ratio =
      is_bad ? std::log(worse_bad_share / stable_bad_share)
             : std::log((1 - worse_bad_share) / (1 - stable_bad_share));
  this->support = std::max(0.0, this->support - log_likelihood_ratio);
  AddEvidence(route.evidence, target, log_likelihood_ratio);
  AddEvidence(this->all_routes, target, log_likelihood_ratio);
  this->is_candidate_worse = this->is_candidate_worse ||
                             SumWithoutWorstTarget(route.evidence) >=
                                 this->EvidenceThreshold(route.evidence) ||
                             SumWithoutWorstTarget(this->all_routes) >=
                                 this->EvidenceThreshold(this->all_routes);
}

void VersionComparison::AddCandidate(RouteState& route,
                                     const AnswerSamples& answers) {
  for (const char byte : answers.samples) {
    const auto sample = static_cast<uint8_t>(byte);
    this->CountCandidateAnswer(route, answers.target,
                               IsBad(route.stable, sample));
  }
  // An attempt that was given up early might have become a good answer.
  for (const char waited : answers.given_up) {
    if (IsBad(route.stable, static_cast<uint8_t>(waited))) {
      this->CountCandidateAnswer(route, answers.target, /*is_bad=*/true);
    }
  }
}

bool VersionComparison::is_evidence_weak() const {
  const auto is_evidence_weak = [this](const Evidence& evidence) {
    return SumWithoutWorstTarget(evidence) <
           this->EvidenceThreshold(evidence) / 2;
  };
  return !this->is_candidate_worse && is_evidence_weak(this->all_routes) &&
         std::ranges::all_of(this->routes, [&](const auto& entry) {
           return is_evidence_weak(entry.second.evidence);
         });
}

std::string VersionComparison::Describe() const {
  std::ostringstream text;
  for (const auto& [name, route] : this->routes) {
    text << name << "(candidate:" << route.candidate_answers
         << ",bad:" << route.candidate_bad_answers
         << ",stable:" << std::llround(route.stable.total)
         << ",bad:" << std::llround(route.stable.bad_total) << ",against:"
         << std::llround(SumWithoutWorstTarget(route.evidence) * 10) << "e-1) ";
  }
  text << "against:"
       << std::llround(SumWithoutWorstTarget(this->all_routes) * 10)
       << "e-1,support:" << std::llround(this->support * 10) << "e-1";
  return std::move(text).str();
}

}  // namespace knapweedroad
