// Compares the answers of a candidate version with those of the stable one, as
// they come in.
//
//   VersionComparison comparison;
//   comparison.Add(samples, now);
//   if (comparison.is_worse()) RollBack(comparison.Describe());
//
// A sequential test: each answer of the candidate moves a sum by how much
// likelier it is from a worse version than from one like the stable version.
// The sum never falls below zero, so what turns bad late shows as fast as what
// is bad from the start.

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

struct VersionComparisonOptions {
  // An answer that takes this many times the stable version's median on the
  // same route is a bad one, as a failure is.
  double slow_factor = 2.5;
  // The least share of bad answers that the stable version is taken to have.
  double min_stable_bad_share = 0.04;
  // A worse version has this many times the stable one's share of bad answers,
  // within these bounds.
  double worse_factor = 3;
  double min_worse_bad_share = 0.3;
  double max_worse_bad_share = 0.9;
  // The sum, a log likelihood ratio, from which on the candidate is worse, is
  // this and the logarithm of the number of its answers: a chance result needs
  // the more the more answers there are. Of several targets the one that speaks
  // most against the candidate is left out: it may be ill by itself.
  double base_threshold = 1.5;
  // What is known of the stable version is half forgotten after this.
  Duration stable_half_life = std::chrono::seconds(4);
};

class VersionComparison {
 public:
  explicit VersionComparison(VersionComparisonOptions options = {});

  void Add(const AnswerSamples& answers, TimePoint now);

  // While it is on, what comes of the stable version changes nothing: it has
  // too few requests to be compared with.
  void SetStableFrozen(bool is_frozen) { this->is_stable_frozen = is_frozen; }

  // Stays true once it is.
  bool is_worse() const { return this->is_candidate_worse; }

  // Whether nothing speaks against the candidate at present.
  bool is_evidence_weak() const;

  size_t candidate_answers() const { return this->candidate_total; }
  size_t candidate_bad_answers() const { return this->candidate_bad_total; }

  // The counts of both versions by route, and the sums, for the log.
  std::string Describe() const;

 private:
  static constexpr size_t kSampleValues = 256;

  struct StableHistory {
    // By sample; they fade.
    std::array<double, kSampleValues> counts{};
    double total = 0;
    TimePoint decayed_at;
    // The least latency sample that is slow.
    uint8_t slow_threshold = 254;
    double bad_total = 0;
  };

  // The sums over the answers of a route, or of all routes: of all targets, and
  // of all targets but one.
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
  // Without the target that speaks most against it, if there are others.
  static double SumWithoutWorstTarget(const Evidence& evidence);
  double EvidenceThreshold(const Evidence& evidence) const;

  VersionComparisonOptions options;
  std::map<std::string, RouteState> routes;
  Evidence all_routes;
  size_t candidate_total = 0;
  size_t candidate_bad_total = 0;
  bool is_stable_frozen = false;
  bool is_candidate_worse = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_VERSION_COMPARISON_H_
