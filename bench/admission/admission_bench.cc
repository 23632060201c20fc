// Weighs the ways to keep nine hosts from overloading a target of two slots.
//
//   admission_bench --seeds=10

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "bench/admission/admission_world.h"

DEFINE_uint64(seeds, 10, "runs of 20 s, with the seeds 1 to this");
DEFINE_double(planned_part, 0.5, "of the time left; for every way");
DEFINE_uint64(slots, 2, "slots of the target");

namespace knapweedroad::bench {
namespace {

// Two slots at a mean of 21.8 ms, stragglers included.
constexpr double kMeanServiceSeconds = 0.0218;

struct Way {
  const char* name;
  AdmissionMode mode;
  bool at_least_one;
};
constexpr Way kWays[] = {
    {"lease", AdmissionMode::kLease, false},
    {"direct, adaptive", AdmissionMode::kDirectAdaptive, false},
    {"split", AdmissionMode::kSplitSlots, false},
    {"split, one or more", AdmissionMode::kSplitSlots, true},
};

struct Scene {
  const char* name;
  // Of what the target can do.
  double load;
  Trouble outlier;
};
constexpr Scene kScenes[] = {
    {"cold start", 0.7, Trouble::kNone},
    {"restart at 5 s", 0.7, Trouble::kRestart},
    {"silent fall at 5 s", 0.7, Trouble::kFallCold},
    {"overload", 2.0, Trouble::kNone},
};

void Add(WorldResult& sum, WorldResult run) {
  sum.offered += run.offered;
  sum.good += run.good;
  sum.refused += run.refused;
  sum.failed += run.failed;
  sum.sheds += run.sheds;
  sum.waits.insert(sum.waits.end(), run.waits.begin(), run.waits.end());
  TargetCounts& target = sum.target;
  target.most_while_warm =
      std::max(target.most_while_warm, run.target.most_while_warm);
  target.most_while_cold =
      std::max(target.most_while_cold, run.target.most_while_cold);
  target.above_slots += run.target.above_slots;
  target.above_cold_limit += run.target.above_cold_limit;
  target.above_at_fall += run.target.above_at_fall;
  target.above_unknowing += run.target.above_unknowing;
}

double WaitMs(std::vector<Duration>& waits, double quantile) {
  if (waits.empty()) {
    return 0;
  }
  const auto place = static_cast<std::ptrdiff_t>(
      static_cast<double>(waits.size() - 1) * quantile);
  std::nth_element(waits.begin(), waits.begin() + place, waits.end());
  return static_cast<double>(waits[static_cast<size_t>(place)].count()) / 1e6;
}

void Print(const Scene& scene, const Way& way, WorldResult& sum) {
  const double seconds = 20.0 * static_cast<double>(FLAGS_seeds);
  const auto rate = [&](uint64_t count) {
    return static_cast<double>(count) / seconds;
  };
  const TargetCounts& target = sum.target;
  std::printf(
      "%-18s %-18s %6.1f %6.1f %7.1f %6.1f %5.1f %5u %5lu %5u %5lu %5lu "
      "%5lu %6.1f %6.1f\n",
      scene.name, way.name, rate(sum.offered), rate(sum.good),
      rate(sum.refused), rate(sum.failed), rate(sum.sheds),
      target.most_while_warm, target.above_slots, target.most_while_cold,
      target.above_cold_limit - target.above_unknowing, target.above_unknowing,
      target.above_at_fall, WaitMs(sum.waits, 0.5), WaitMs(sum.waits, 0.99));
}

void RunAll() {
  const auto slots = static_cast<uint32_t>(FLAGS_slots);
  std::printf(
      "%lu seeds of 20 s; %u slots, cold limit 1. Rates are a second, "
      "the rest is counts.\n"
      "%-18s %-18s %6s %6s %7s %6s %5s %5s %5s %5s %5s %5s %5s %6s %6s\n",
      FLAGS_seeds, slots, "", "", "offer", "good", "refused", "failed", "shed",
      "most", "over", "most", "over", "blind", "fell", "p50", "p99");
  std::printf("%-75s %5s %5s %5s %5s %5s %5s %6s %6s\n", "", "warm", "slots",
              "cold", "cold", "", "on", "wait", "wait");
  for (const Scene& scene : kScenes) {
    for (const Way& way : kWays) {
      WorldResult sum;
      for (uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        AdmissionWorld world({.mode = way.mode,
                              .at_least_one = way.at_least_one,
                              .slots = slots,
                              .rate = scene.load * slots / kMeanServiceSeconds,
                              .outlier = scene.outlier,
                              .planned_part = FLAGS_planned_part,
                              .seed = seed});
        Add(sum, world.Run());
      }
      Print(scene, way, sum);
    }
  }
}

}  // namespace
}  // namespace knapweedroad::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  knapweedroad::bench::RunAll();
  return 0;
}
