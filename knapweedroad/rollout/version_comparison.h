// Compares the answers of a candidate version with those of the stable version
// while they arrive.
//
//   VersionComparison comparison;
//   comparison.Add(samples, now);
//   if (comparison.is_worse()) RollBack(comparison.Describe());
//
// The comparison is a sequential test (CUSUM). Each answer of the candidate
// adds its log likelihood ratio to a sum: the logarithm of how much likelier
// the answer is from a worse version than from one like the stable version. The
// sum is kept at zero or above, so a fault that begins late is detected as fast
// as one that exists from the start.

#ifndef KNAPWEEDROAD_ROLLOUT_VERSION_COMPARISON_H_
#define KNAPWEEDROAD_ROLLOUT_VERSION_COMPARISON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/rollout/rollout_messages.h"

namespace knapweedroad {

// An answer is bad if it is a failure or slow.
struct VersionComparisonOptions {
  // An answer is slow from this multiple of the stable version's median latency
  // on the same route on.
  double slow_factor = 2.5;
  // The minimum share of bad answers that the stable version is assumed to
  // have.
  double min_stable_bad_share = 0.04;
  // A worse version is assumed to have this multiple of the stable version's
  // share of bad answers, within these bounds.
  double worse_factor = 3;
  double min_worse_bad_share = 0.3;
  double max_worse_bad_share = 0.9;
  // The candidate is worse from a sum of this value plus the natural logarithm
  // of the number of its answers on. The threshold grows with the answers
  // because more of them make a chance result likelier. If the candidate has
  // several targets, the one with the most evidence against it is left out,
  // because that target alone may be faulty.
  double base_threshold = 1.5;
  // The support at which the candidate's answers suffice to call it as good.
  // The default takes five good answers in a row, which a version that fails
  // half of its requests gives in 1 of 32 cases.
  double min_support = 1.5;
  // The half-life of the counts of the stable version's answers.
  Duration stable_half_life = std::chrono::seconds(4);
};

// Keeps evidence for each route and for all routes together. Once the candidate
// is found worse on either, it stays so. Not thread-safe.
class VersionComparison {
 public:
  explicit VersionComparison(VersionComparisonOptions options = {});

  // Adds answers of either version that arrive at `now`. An attempt that was
  // given up counts as a slow answer if it had waited that long, and is ignored
  // otherwise.
  void Add(const AnswerSamples& answers, TimePoint now);

  // Sets whether answers of the stable version are ignored. Used while that
  // version gets too few requests to compare with.
  void SetStableFrozen(bool is_frozen) { this->is_stable_frozen = is_frozen; }

  // Returns whether the candidate has been found worse. Stays true from then
  // on.
  bool is_worse() const { return this->is_candidate_worse; }

  // Returns whether the evidence against the candidate is below half of the
  // threshold, for each route and for all together, and it isn't found worse.
  bool is_evidence_weak() const;

  // Returns whether the candidate has given enough good answers to call it as
  // good. False while there are none, unlike is_evidence_weak().
  bool is_evidence_sufficient() const {
    return this->support >= this->options.min_support;
  }

  // Return the number of the candidate's answers, and of the bad ones of them.
  size_t candidate_answers() const { return this->candidate_total; }
  size_t candidate_bad_answers() const { return this->candidate_bad_total; }

  // Returns the counts of both versions and the sums ("against") by route, for
  // the log.
  std::string Describe() const;

 private:
  static constexpr size_t kSampleValues = 256;

  // The answers of the stable version on one route.
  struct StableHistory {
    // The number of answers by sample, decayed with the half-life.
    std::array<double, kSampleValues> counts{};
    double total = 0;
    TimePoint decayed_at;
    // The lowest sample of a slow answer. kMaxLatencySample if there are too
    // few answers to determine it.
    uint8_t slow_threshold = 254;
    double bad_total = 0;
  };

  // The sums of log likelihood ratios on one route or on all routes: over all
  // targets, and for each target over all targets but that one.
  struct Evidence {
    double sum = 0;
    std::map<TargetId, double> sums_without_target;
    size_t answers = 0;
  };

  struct RouteState {
    StableHistory stable;
    Evidence evidence;
    size_t candidate_answers = 0;
    size_t candidate_bad_answers = 0;
  };

  void AddStable(RouteState& route,
                 const AnswerSamples& answers,
                 TimePoint now);
  void AddCandidate(RouteState& route, const AnswerSamples& answers);
  void CountCandidateAnswer(RouteState& route,
                            const TargetId& target,
                            bool is_bad);
  static bool IsBad(const StableHistory& stable, uint8_t sample);
  static void Decay(StableHistory& stable, double factor);
  void UpdateSlowThreshold(StableHistory& stable) const;
  double StableBadShare(const StableHistory& stable) const;
  static void AddEvidence(Evidence& evidence,
                          const TargetId& target,
                          double log_likelihood_ratio);
  // Returns the sum without the target that has the most evidence against it,
  // or the sum of the only target.
  static double SumWithoutWorstTarget(const Evidence& evidence);
  double EvidenceThreshold(const Evidence& evidence) const;

  VersionComparisonOptions options;
  std::map<std::string, RouteState> routes;
  Evidence all_routes;
  // The sum of the negated log likelihood ratios over all routes, kept at zero
  // or above: how much likelier the answers since the last bad ones are from a
  // version like the stable one than from a worse one.
  double support = 0;
  size_t candidate_total = 0;
  size_t candidate_bad_total = 0;
  bool is_stable_frozen = false;
  bool is_candidate_worse = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_VERSION_COMPARISON_H_
