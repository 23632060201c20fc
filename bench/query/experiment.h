// A front in virtual time: callers, coordinators with the real decision
// classes, and searchers. Seeded, so that two policies meet the same load.
//
//   ExperimentResult result = RunExperiment({.seed = 1});

#ifndef BENCH_QUERY_EXPERIMENT_H_
#define BENCH_QUERY_EXPERIMENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/front_config.h"

namespace knapweedroad::bench {

// Open-loop arrivals of one tenant's class until a moment of the experiment.
struct LoadPhase {
  Duration from{};
  Duration until{};
  double queries_per_second = 0.0;
  std::string tenant = "tenant";
  std::string class_name = "normal";
};

struct ExperimentOptions {
  uint64_t seed = 1;
  uint32_t services = 10;
  uint32_t searchers = 3;
  uint32_t slots = 2;
  uint32_t zones = 4;
  uint32_t hosts = 9;
  Duration zone_hop = std::chrono::microseconds(500);
  Duration local_hop = std::chrono::microseconds(100);
  // Service times: log-normal; a share of them takes `straggler_factor` as
  // long.
  Duration median_time = std::chrono::milliseconds(10);
  double sigma = 0.5;
  double straggler_share = 0.01;
  double straggler_factor = 20.0;
  // How old a host's view of the loads of targets is, at most.
  Duration view_age = std::chrono::milliseconds(50);
  AnswerPolicy policy = AnswerPolicy::kCoverage;
  Duration deadline = std::chrono::milliseconds(500);
  Duration tail_target = std::chrono::milliseconds(80);
  double minimum_coverage = 0.5;
  double hedge_quantile = 0.95;
  double hedge_budget = 0.05;
  // The baseline: a random replica, no hedge, no retry, wait for all.
  bool baseline = false;
  // Whether queries pass a QueryLimiter.
  bool gate = false;
  double slow_share = 0.5;
  std::vector<TenantConfig> tenants;
  std::vector<LoadPhase> load;
};

struct QueryRecord {
  TimePoint arrived;
  Duration took{};
  // Zero for a refusal.
  double coverage = 0.0;
  bool refused = false;
  // Refused by the QueryLimiter.
  bool at_gate = false;
  std::string tenant;
  std::string class_name;
};

struct ExperimentResult {
  std::vector<QueryRecord> queries;
  uint64_t first_tries = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;
  // Sub-requests that searchers began, and the time these took.
  uint64_t begun = 0;
  Duration busy{};
};

ExperimentResult RunExperiment(const ExperimentOptions& options);

// Queries a second that all slots together can do.
double Capacity(const ExperimentOptions& options);

}  // namespace knapweedroad::bench

#endif  // BENCH_QUERY_EXPERIMENT_H_
