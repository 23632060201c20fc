// Goodput, fairness and recovery under overload: with and without a
// QueryLimiter.
//
//   query_overload_bench --seed=1 --seconds=20
//
// Goodput counts answers with coverage 1. Two tenants of equal weight: `bulk`
// brings the overload, `desk` a steady tenth of capacity in a favoured class.

#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <vector>

#include "bench/query/experiment.h"
#include "bench/query/report.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");
DEFINE_uint32(seconds, 20, "virtual seconds of each load");
DEFINE_double(slow_share, 0.5, "as in QueryLimiterOptions");
DEFINE_uint32(services, 10, "services of the front");

namespace {

using namespace knapweedroad;         // NOLINT
using namespace knapweedroad::bench;  // NOLINT

constexpr double kDeskShare = 0.1;

Duration SecondsOf(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

ExperimentOptions Options(bool gate) {
  return {.seed = FLAGS_seed,
          .services = FLAGS_services,
          .minimum_coverage = 0.9,
          .gate = gate,
          .slow_share = FLAGS_slow_share,
          .tenants = {{.name = TenantId("bulk"), .weight = 1},
                      {.name = TenantId("desk"),
                       .weight = 1,
                       .class_weights = {{"radio", 4}}}}};
}

void AddLoad(ExperimentOptions& options,
             double from,
             double until,
             double load) {
  const double capacity = Capacity(options);
  options.load.push_back({.from = SecondsOf(from),
                          .until = SecondsOf(until),
                          .queries_per_second = (load - kDeskShare) * capacity,
                          .tenant = "bulk"});
  options.load.push_back({.from = SecondsOf(from),
                          .until = SecondsOf(until),
                          .queries_per_second = kDeskShare * capacity,
                          .tenant = "desk",
                          .class_name = "radio"});
}

// Whole answers a second in a stretch, as a share of capacity.
double Goodput(const ExperimentResult& result,
               double capacity,
               double from,
               double until) {
  double whole = 0;
  for (const QueryRecord& query : result.queries) {
    const double at =
        std::chrono::duration<double>(query.arrived.time_since_epoch()).count();
    whole += query.coverage >= 1.0 && at >= from && at < until ? 1 : 0;
  }
  return whole / (until - from) / capacity;
}

ExperimentResult Only(const ExperimentResult& result,
                      const std::string& tenant) {
  ExperimentResult only;
  for (const QueryRecord& query : result.queries) {
    if (query.tenant == tenant) {
      only.queries.push_back(query);
    }
  }
  return only;
}

void RunLoads(bool gate) {
  std::printf("\n%s, %u services; shares of queries that arrived\n%s",
              gate ? "gate" : "no gate", FLAGS_services, Header().c_str());
  for (const double load : {0.5, 0.7, 0.8, 0.9, 1.0, 1.5, 2.0, 3.0}) {
    ExperimentOptions options = Options(gate);
    AddLoad(options, 0, FLAGS_seconds, load);
    const ExperimentResult result = RunExperiment(options);
    char name[64];
    std::snprintf(name, sizeof(name), "load %.1f goodput %.3f", load,
                  Goodput(result, Capacity(options), 2, FLAGS_seconds));
    std::fputs(Row(name, Summarize(result)).c_str(), stdout);
    std::fputs(Row("  desk", Summarize(Only(result, "desk"))).c_str(), stdout);
  }
}

// Half load, then twice capacity, then half load again.
void RunRecovery(bool gate) {
  ExperimentOptions options = Options(gate);
  AddLoad(options, 0, 10, 0.5);
  AddLoad(options, 10, 20, 2.0);
  AddLoad(options, 20, 30, 0.5);
  const ExperimentResult result = RunExperiment(options);
  std::printf("\n%s, load 0.5 / 2.0 from 10 s / 0.5 from 20 s\n%s",
              gate ? "gate" : "no gate", Header().c_str());
  for (double from = 18; from < 25; from += 0.5) {
    ExperimentResult part;
    for (const QueryRecord& query : result.queries) {
      const double at =
          std::chrono::duration<double>(query.arrived.time_since_epoch())
              .count();
      if (at >= from && at < from + 0.5) {
        part.queries.push_back(query);
      }
    }
    char name[64];
    std::snprintf(name, sizeof(name), "%.1f s goodput %.3f", from,
                  Goodput(result, Capacity(options), from, from + 0.5));
    std::fputs(Row(name, Summarize(part)).c_str(), stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  for (const bool gate : {false, true}) {
    RunLoads(gate);
    RunRecovery(gate);
  }
  return 0;
}
