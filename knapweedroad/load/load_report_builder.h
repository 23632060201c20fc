// Collects the ended calls of a run into a report.
//
//   LoadReportBuilder tally(plan);
//   tally.Add(call, planned_at);
//   LoadReport report = tally.Report();

#ifndef KNAPWEEDROAD_LOAD_LOAD_REPORT_BUILDER_H_
#define KNAPWEEDROAD_LOAD_LOAD_REPORT_BUILDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "knapweedroad/base/time.h"
#include "knapweedroad/load/latency_histogram.h"
#include "knapweedroad/load/load_report.h"

namespace knapweedroad {

struct CallRecord;
struct LoadPlan;

class LoadReportBuilder {
 public:
  // The plan outlives this.
  explicit LoadReportBuilder(const LoadPlan& plan);

  // A call has ended that was planned at `at` since the run's start.
  void Add(const CallRecord& call, Duration at);

  // The callers' side of the report; targets, broken promises and the
  // generator's part are for others to fill in.
  LoadReport Report() const;

  // Sub-requests that all answers so far needed at least.
  uint64_t min_sub_requests() const { return this->required_sub_requests; }

 private:
  struct Group {
    GroupReport counts;
    LatencyHistogram answers;
    LatencyHistogram refusals;
  };
  struct Second {
    SecondReport counts;
    LatencyHistogram answers;
  };
  using Groups = std::map<std::string, Group>;

  void AddTo(Group& group, const CallRecord& call) const;
  void AddToSecond(const CallRecord& call, Duration at);
  void AddStatus(const CallRecord& call);
  void AddCoverage(const CallRecord& call);
  void AddRequiredSubRequests(const CallRecord& call);
  static GroupReport Summarize(const Group& group);
  static std::map<std::string, GroupReport> Summarize(const Groups& groups);

  const LoadPlan* plan;
  Group total;
  Groups by_front;
  Groups by_class;
  Groups by_tenant;
  std::map<uint32_t, Second> seconds;
  LoadReport report;
  double coverage_sum = 0.0;
  uint64_t coverage_count = 0;
  uint64_t complete_count = 0;
  uint64_t required_sub_requests = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_REPORT_BUILDER_H_
