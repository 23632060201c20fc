#include "bench/query/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

namespace knapweedroad::bench {
namespace {

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(std::lround(quantile * last))];
}

}  // namespace

Summary Summarize(const ExperimentResult& result) {
  Summary summary;
  std::vector<double> times;
  for (const QueryRecord& query : result.queries) {
    if (query.refused) {
      summary.refused += 1;
      continue;
    }
    summary.answered += 1;
    times.push_back(
        std::chrono::duration<double, std::milli>(query.took).count());
    summary.whole += query.coverage >= 1.0 ? 1 : 0;
    summary.nine_tenths += query.coverage >= 0.9 ? 1 : 0;
    summary.mean_coverage += query.coverage;
  }
  std::ranges::sort(times);
  summary.p50 = Quantile(times, 0.5);
  summary.p95 = Quantile(times, 0.95);
  summary.p99 = Quantile(times, 0.99);
  summary.p999 = Quantile(times, 0.999);
  const auto all =
      static_cast<double>(std::max<size_t>(result.queries.size(), 1));
  summary.whole /= all;
  summary.nine_tenths /= all;
  summary.mean_coverage /= all;
  summary.extra_attempts =
      static_cast<double>(result.hedges + result.retries) /
      static_cast<double>(std::max<uint64_t>(result.first_tries, 1));
  return summary;
}

std::string Header() {
  char line[200];
  std::snprintf(line, sizeof(line),
                "%-34s %8s %8s %7s %7s %7s %7s %8s %8s %8s %7s\n", "",
                "answered", "refused", "p50", "p95", "p99", "p99.9", "whole",
                ">=0.9", "coverage", "extra");
  return line;
}

std::string Row(const std::string& name, const Summary& summary) {
  char line[200];
  std::snprintf(line, sizeof(line),
                "%-34s %8zu %8zu %7.1f %7.1f %7.1f %7.1f %7.3f%% %7.3f%% "
                "%8.5f %6.2f%%\n",
                name.c_str(), summary.answered, summary.refused, summary.p50,
                summary.p95, summary.p99, summary.p999, 100 * summary.whole,
                100 * summary.nine_tenths, summary.mean_coverage,
                100 * summary.extra_attempts);
  return line;
}

}  // namespace knapweedroad::bench
