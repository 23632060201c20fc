// The results of a run of the load command.

#ifndef KNAPWEEDROAD_LOAD_LOAD_REPORT_H_
#define KNAPWEEDROAD_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "knapweedroad/testing/broken_promise.h"
#include "knapweedroad/testing/searcher_counts_json.h"

namespace knapweedroad {

struct LatencySummary {
  uint64_t count = 0;
  double p50_ms = 0.0;
  double p95_ms = 0.0;
  double p99_ms = 0.0;
  double p999_ms = 0.0;
  double max_ms = 0.0;
};

// Results of the calls that share a front, a tenant or a request class.
struct GroupReport {
  uint64_t calls = 0;
  // Calls with status 200, and record calls with status 404 for a record that
  // does not exist.
  uint64_t answered = 0;
  // Answers with full coverage within the deadline.
  uint64_t complete_in_time = 0;
  uint64_t in_time = 0;
  uint64_t refused = 0;
  // Calls without an answer: connection failure, timeout or cancelled by the
  // client.
  uint64_t failed = 0;
  LatencySummary answers;
  LatencySummary refusals;
};

struct SecondReport {
  uint32_t second = 0;
  uint64_t calls = 0;
  uint64_t answered = 0;
  uint64_t complete = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  double p50_ms = 0.0;
  double p99_ms = 0.0;
};

struct CoverageReport {
  // Number of answers by reported coverage: "1.0", "0.99-1.0", ...
  std::map<std::string, uint64_t> answers;
  double lowest = 0.0;
  double mean = 0.0;
  double complete_share = 0.0;
};

// Counts reported by one target.
struct TargetRow {
  std::string zone;
  uint64_t received = 0;
  uint64_t shed = 0;
  uint32_t peak_in_flight = 0;
  uint32_t peak_connections = 0;
  uint64_t connections_opened = 0;
};

// Sums and maxima of the counts that the targets reported.
struct TargetsReport {
  uint64_t targets = 0;
  uint64_t received = 0;
  uint64_t executed = 0;
  uint64_t shed = 0;
  uint64_t cancelled = 0;
  uint64_t expired = 0;
  uint64_t falls_cold = 0;
  uint64_t falls_over = 0;
  // Minimum number of sub-requests that the answers required, and the excess of
  // received sub-requests as a fraction of that minimum.
  uint64_t min_sub_requests = 0;
  double extra_load = 0.0;
  // Peaks are maxima over all targets; `over_*` are the numbers of targets that
  // exceeded the limit.
  uint32_t peak_in_flight = 0;
  uint32_t peak_in_flight_cold = 0;
  uint32_t peak_connections = 0;
  uint32_t over_slots = 0;
  uint32_t over_cold_limit = 0;
  uint32_t over_connections = 0;
  std::map<std::string, uint64_t> violations;
  std::map<std::string, TargetRow> by_target;
  // The first violations, as "TARGET at 1234 ms: kind: detail".
  std::vector<std::string> first_violations;
};

struct GeneratorReport {
  uint64_t skipped = 0;
  double worst_lag_ms = 0.0;
  uint32_t peak_outstanding = 0;
  // Failed faults and zone changes of the timeline, and failed requests to
  // control addresses.
  std::vector<std::string> timeline_failures;
};

struct LoadReport {
  std::string scenario;
  std::string run;
  uint64_t seed = 0;
  double duration_s = 0.0;
  GroupReport total;
  std::map<std::string, GroupReport> by_front;
  std::map<std::string, GroupReport> by_class;
  std::map<std::string, GroupReport> by_tenant;
  CoverageReport coverage;
  // "200", "503 not_run", "none timeout", ...
  std::map<std::string, uint64_t> statuses;
  // Number of answers by front and snapshot, "FRONT SNAPSHOT".
  std::map<std::string, uint64_t> snapshots;
  // Refusals by status and problem title, then by presence of Retry-After.
  std::map<std::string, uint64_t> refusals;
  uint64_t retry_after_present = 0;
  uint64_t retry_after_absent = 0;
  uint64_t answers_checked = 0;
  std::map<std::string, uint64_t> violations;
  std::vector<std::string> first_violations;
  TargetsReport targets;
  GeneratorReport generator;
  std::vector<SecondReport> seconds;

  // Returns whether the run detected a violated guarantee to callers or
  // targets.
  bool HasViolation() const;
};

// Aggregates the targets' counts; `min_sub_requests` is as in TargetsReport.
TargetsReport SumTargets(const std::vector<TargetCounts>& counts,
                         uint64_t min_sub_requests);

std::string WriteJson(const LoadReport& report);
std::string WriteText(const LoadReport& report);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_REPORT_H_
