// Tail latency and coverage with 1 in 100 sub-requests straggling by 20 times:
// the policy against "random replica, no hedge, wait for all", same seeds.
//
//   query_tail_bench --seed=1 --seconds=200 --load=0.3

#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "bench/query/experiment.h"
#include "bench/query/report.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");
DEFINE_uint32(seconds, 200, "virtual seconds of load");
DEFINE_double(load, 0.3, "arrivals as a share of capacity");
DEFINE_double(hedge_quantile, 0.95, "as in the front's configuration");
DEFINE_double(hedge_budget, 0.05, "as in the front's configuration");
DEFINE_double(tail_ms, 80, "the tail target of the front that has one");
DEFINE_uint32(warm_up, 0, "first seconds whose queries aren't reported");
DEFINE_uint32(view_ms, 50, "age of a host's view of loads");

namespace {

using namespace knapweedroad;         // NOLINT
using namespace knapweedroad::bench;  // NOLINT

Summary RunOnce(ExperimentOptions options, const std::string& name) {
  // The load is the same number of queries with and without stragglers.
  ExperimentOptions straggling = options;
  straggling.straggler_share = 0.01;
  options.load = {{.until = std::chrono::seconds(FLAGS_seconds),
                   .queries_per_second = FLAGS_load * Capacity(straggling)}};
  ExperimentResult result = RunExperiment(options);
  const TimePoint from{std::chrono::seconds(FLAGS_warm_up)};
  std::erase_if(result.queries, [from](const QueryRecord& query) {
    return query.arrived < from;
  });
  const Summary summary = Summarize(result);
  std::fputs(Row(name, summary).c_str(), stdout);
  return summary;
}

void RunSize(uint32_t services) {
  ExperimentOptions options{
      .seed = FLAGS_seed,
      .services = services,
      .view_age = std::chrono::milliseconds(FLAGS_view_ms),
      .tail_target =
          std::chrono::microseconds(static_cast<int64_t>(1000 * FLAGS_tail_ms)),
      .hedge_quantile = FLAGS_hedge_quantile,
      .hedge_budget = FLAGS_hedge_budget};
  std::printf("\n%u services of 3 searchers with 2 slots, load %.2f\n%s",
              services, FLAGS_load, Header().c_str());
  ExperimentOptions baseline = options;
  baseline.baseline = true;
  RunOnce(baseline, "baseline, stragglers");
  baseline.straggler_share = 0;
  RunOnce(baseline, "baseline, none");
  for (const auto policy : {AnswerPolicy::kCoverage, AnswerPolicy::kTail}) {
    const std::string name =
        policy == AnswerPolicy::kCoverage ? "coverage" : "tail";
    ExperimentOptions run = options;
    run.policy = policy;
    const Summary with = RunOnce(run, name + " policy, stragglers");
    run.straggler_share = 0;
    const Summary without = RunOnce(run, name + " policy, none");
    std::printf("  p99 with over without stragglers: %.2f\n",
                with.p99 / without.p99);
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  RunSize(10);
  RunSize(15);
  return 0;
}
