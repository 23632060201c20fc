// The figures of an experiment, as lines of a table.

#ifndef BENCH_QUERY_REPORT_H_
#define BENCH_QUERY_REPORT_H_

#include <string>

#include "bench/query/experiment.h"

namespace knapweedroad::bench {

struct Summary {
  size_t answered = 0;
  size_t refused = 0;
  double p50 = 0.0;
  double p95 = 0.0;
  double p99 = 0.0;
  double p999 = 0.0;
  // Shares of all queries: answered whole, and answered at 0.9 or more.
  double whole = 0.0;
  double nine_tenths = 0.0;
  double mean_coverage = 0.0;
  // Begun sub-requests and busy time over those of first tries.
  double extra_attempts = 0.0;
};

// Milliseconds, over answered queries.
Summary Summarize(const ExperimentResult& result);

// Of the same columns as Row().
std::string Header();
std::string Row(const std::string& name, const Summary& summary);

}  // namespace knapweedroad::bench

#endif  // BENCH_QUERY_REPORT_H_
