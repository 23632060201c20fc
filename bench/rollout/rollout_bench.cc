// Ways to judge a roll-out, side by side on the same seeds: wrong verdicts of
// both kinds, callers exposed, bad answers, time to the verdict.
//
//   rollout_bench [SEEDS]

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "knapweedroad/rollout/rollout_simulation.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDefaultSeeds = 100;
constexpr double kRates[] = {2, 20, 100, 400};

struct Case {
  std::string name;
  bool is_good = false;
  CandidateFault fault;
  TargetFault trouble;
};

std::vector<Case> Cases() {
  return {
      {.name = "good", .is_good = true},
      {.name = "good, one of its targets fails",
       .is_good = true,
       .trouble = {.affects_candidate = true}},
      {.name = "good, one of its targets is slow",
       .is_good = true,
       .trouble = {.affects_candidate = true, .slow_factor = 8}},
      {.name = "good, a stable target fails",
       .is_good = true,
       .trouble = {.affects_stable = true}},
      {.name = "fails 0.25", .fault = {.share = 0.25}},
      {.name = "fails 0.5", .fault = {.share = 0.5}},
      {.name = "slow x4, 0.5", .fault = {.share = 0.5, .slow_factor = 4}},
      {.name = "fails 0.5 on the short route",
       .fault = {.share = 0.5, .only_short_route = true}},
      {.name = "fails 0.4 from 6 s",
       .fault = {.share = 0.4, .starts_after = seconds(6)}},
      {.name = "fails 0.5 from 10 s",
       .fault = {.share = 0.5, .starts_after = seconds(10)}},
      {.name = "fails 0.5 from 11.6 s",
       .fault = {.share = 0.5, .starts_after = milliseconds(11'600)}},
      {.name = "fails 0.6 under load",
       .fault = {.share = 0.6, .min_target_rate = 1}},
      {.name = "slow x5 under load, a stable target fails",
       .fault = {.share = 0.7, .slow_factor = 5, .min_target_rate = 1},
       .trouble = {.affects_stable = true}},
  };
}

struct Way {
  std::string name;
  VersionComparisonOptions comparison;
};

std::vector<Way> Ways() {
  std::vector<Way> ways;
  const auto add = [&](std::string name, double enough, double worse) {
    Way way{.name = std::move(name)};
    way.comparison.base_threshold = enough;
    way.comparison.min_worse_bad_share = worse;
    ways.push_back(std::move(way));
  };
  add("enough 1.5, worse 0.3", 1.5, 0.3);
  add("enough 2.5, worse 0.3", 2.5, 0.3);
  add("enough 1.5, worse 0.4", 1.5, 0.4);
  return ways;
}

struct Tally {
  int wrong = 0;
  int late = 0;
  int over_bound = 0;
  int over_rollback = 0;
  int stable_after = 0;
  double exposed = 0;
  double bad = 0;
  double ended = 0;
};

Tally Play(const Case& played, const Way& way, double rate, int seeds) {
  Tally tally;
  for (int seed = 1; seed <= seeds; ++seed) {
    RolloutSimulationOptions options{.rate = rate,
                                     .fault = played.fault,
                                     .target_fault = played.trouble,
                                     .comparison = way.comparison,
                                     .seed = static_cast<uint64_t>(seed)};
    if (options.fault.min_target_rate > 0) {
      options.fault.min_target_rate = rate / 3 * 0.6;
    }
    const RolloutSimulationResult result = RunRolloutSimulation(options);
    const RolloutState wanted =
        played.is_good ? RolloutState::kCompleted : RolloutState::kRolledBack;
    tally.wrong += result.state == wanted ? 0 : 1;
    tally.late += result.ended_after > options.duration ? 1 : 0;
    tally.over_bound +=
        static_cast<double>(result.sent_to_candidate) > result.exposure_limit
            ? 1
            : 0;
    tally.over_rollback +=
        !played.is_good && result.last_sent_after_50th_bad_s > 5 ? 1 : 0;
    tally.stable_after += result.stable_attempts_after_end > 0 ? 1 : 0;
    tally.exposed += static_cast<double>(result.sent_to_candidate) / seeds;
    tally.bad += static_cast<double>(result.bad_answers) / seeds;
    tally.ended +=
        std::chrono::duration<double>(result.ended_after).count() / seeds;
  }
  return tally;
}

int Main(int seeds) {
  std::printf("%d seeds each; of these\n", seeds);
  for (const Way& way : Ways()) {
    std::printf(
        "\n%-45s rate wrong  late bound rollb stable exposed   bad  end s\n",
        way.name.c_str());
    for (const Case& played : Cases()) {
      for (const double rate : kRates) {
        const Tally tally = Play(played, way, rate, seeds);
        std::printf("%-45s %4.0f %5d %5d %5d %5d %6d %7.0f %5.0f %6.1f\n",
                    played.name.c_str(), rate, tally.wrong, tally.late,
                    tally.over_bound, tally.over_rollback, tally.stable_after,
                    tally.exposed, tally.bad, tally.ended);
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace knapweedroad

int main(int argc, char** argv) {
  return knapweedroad::Main(argc > 1 ? std::atoi(argv[1])
                                     : knapweedroad::kDefaultSeeds);
}
