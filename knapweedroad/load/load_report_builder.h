// Builds a report from the completed calls of a run.
//
//   LoadReportBuilder report_builder(plan);
//   report_builder.Add(call, planned_at);
//   LoadReport report = report_builder.Report();

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
  // `plan` must outlive this object.
  explicit LoadReportBuilder(const LoadPlan& plan);

  // Records a completed call; `at` is its planned time since the start of the
  // run.
  void Add(const CallRecord& call, Duration at);

  // Returns the results of the calls. The caller fills in the results of
  // targets, the violations and the generator's figures.
  LoadReport Report() const;

  // Minimum number of sub-requests that the answers recorded so far required.
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
