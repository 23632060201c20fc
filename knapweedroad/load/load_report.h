// What a run of the load command measured.

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

// Calls with something in common: a front, tenant or class.
struct GroupReport {
  uint64_t calls = 0;
  // 200, and 404 of a record that isn't there.
  uint64_t answered = 0;
  // Answered with the whole index, by the deadline.
  uint64_t complete_in_time = 0;
  uint64_t in_time = 0;
  uint64_t refused = 0;
  // No answer at all: cut off, or given up by the generator.
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
  // Answers by the coverage they said: "1.0", "0.9-1.0", ...
  std::map<std::string, uint64_t> answers;
  double lowest = 0.0;
  double mean = 0.0;
  double complete_share = 0.0;
};

// One target, as it counted for itself.
struct TargetRow {
  std::string zone;
  uint64_t received = 0;
  uint64_t shed = 0;
  uint32_t peak_in_flight = 0;
  uint32_t peak_connections = 0;
  uint64_t connections_opened = 0;
};

// All targets together, as each counted for itself.
struct TargetsReport {
  uint64_t targets = 0;
  uint64_t received = 0;
  uint64_t executed = 0;
  uint64_t shed = 0;
  uint64_t cancelled = 0;
  uint64_t expired = 0;
  uint64_t falls_cold = 0;
  uint64_t falls_over = 0;
  // Sub-requests that the answers needed at least; those received above it as
  // a share of it.
  uint64_t min_sub_requests = 0;
  double extra_load = 0.0;
  // The worst of all targets, and how many passed what they bear.
  uint32_t peak_in_flight = 0;
  uint32_t peak_in_flight_cold = 0;
  uint32_t peak_connections = 0;
  uint32_t over_slots = 0;
  uint32_t over_cold_limit = 0;
  uint32_t over_connections = 0;
  std::map<std::string, uint64_t> violations;
  std::map<std::string, TargetRow> by_target;
  // The first ones: "TARGET at 1234 ms: kind: detail".
  std::vector<std::string> first_violations;
};

struct GeneratorReport {
  uint64_t skipped = 0;
  double worst_lag_ms = 0.0;
  uint32_t peak_outstanding = 0;
  // Faults and zone changes of the timeline that could not be done.
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
  // Answers by the snapshot they were of, "FRONT SNAPSHOT".
  std::map<std::string, uint64_t> snapshots;
  // Refusals by the problem's title and whether they said when to come back.
  std::map<std::string, uint64_t> refusals;
  uint64_t retry_after_present = 0;
  uint64_t retry_after_absent = 0;
  uint64_t answers_checked = 0;
  std::map<std::string, uint64_t> violations;
  std::vector<std::string> first_violations;
  TargetsReport targets;
  GeneratorReport generator;
  std::vector<SecondReport> seconds;

  // Whether the run saw a promise broken, to callers or to targets.
  bool HasViolation() const;
};

// Adds up what each target counted; `min_sub_requests` as in TargetsReport.
TargetsReport SumTargets(const std::vector<TargetCounts>& counts,
                         uint64_t min_sub_requests);

std::string WriteJson(const LoadReport& report);
std::string WriteText(const LoadReport& report);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_REPORT_H_
