#include <string>

#include "bench/capacity/experiments.h"
#include "bench/capacity/recorder.h"
#include "bench/capacity/sample.h"
#include "knapweedroad/host/configuration_keeper.h"

namespace knapweedroad {
namespace {

constexpr int kFronts[] = {5, 20, 80};

void MeasurePush(Recorder& recorder,
                 const std::string& name,
                 const ConfigurationKeeper& ahead,
                 const ConfigurationKeeper& behind,
                 uint64_t base,
                 int fronts) {
  const ConfigurationPush push = ahead.PushFrom(base);
  recorder.Add({name, "bytes", "fronts"}, fronts,
               static_cast<double>(push.body.size()));
  recorder.Add({name, "make_cpu_us", "fronts"}, fronts,
               CpuMicroseconds([&] { ahead.PushFrom(base); }));
  bool applied = true;
  const double cpu = CpuMicroseconds([&] {
    ConfigurationKeeper copy = behind;
    applied = copy.Apply(push, TimePoint()).has_value() && applied;
  });
  if (applied) {
    recorder.Add({name, "apply_cpu_us", "fronts"}, fronts, cpu);
  }
}

}  // namespace

void MeasureConfiguration(Recorder& recorder) {
  for (const int fronts : kFronts) {
    ConfigurationKeeper behind;
    const std::string before = SampleDeployment(fronts, false);
    if (const auto offered = behind.Offer(1, before, TimePoint()); !offered) {
      std::fprintf(stderr, "%s\n", offered.error().c_str());
      return;
    }
    ConfigurationKeeper ahead = behind;
    static_cast<void>(
        ahead.Offer(2, SampleDeployment(fronts, true), TimePoint()));
    MeasurePush(recorder, "delta", ahead, behind, 1, fronts);
    MeasurePush(recorder, "whole", ahead, behind, 0, fronts);
  }
}

}  // namespace knapweedroad
