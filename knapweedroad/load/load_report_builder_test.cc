#include "knapweedroad/load/load_report_builder.h"

#include <criterion/criterion.h>

#include "knapweedroad/load/load_plan.h"
#include "knapweedroad/load/report_compare.h"
#include "knapweedroad/testing/call_record.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LoadPlan Plan() {
  LoadPlan plan{
      .name = "steady", .duration = seconds(10), .warm_up = seconds(1)};
  plan.fronts.push_back(
      {.name = FrontId("redactie"),
       .units = {{1, {{ServiceId("s-1"), 10}, {ServiceId("s-2"), 10}}}}});
  return plan;
}

CallRecord Answer(milliseconds latency, const char* coverage) {
  CallRecord call{.front = FrontId("redactie"),
                  .tenant = TenantId("radio"),
                  .request_class = "urgent",
                  .deadline = milliseconds(500),
                  .status = 200,
                  .body = R"({"missing_services": []})",
                  .latency = latency};
  call.headers["Knapweed-Coverage"] = coverage;
  call.headers["Knapweed-Snapshot"] = "1.1";
  return call;
}

Test(LatencyHistogram, GivesQuantilesWithinItsPrecision) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 10000; ++i) {
    histogram.Add(milliseconds(i));
  }
  for (const double quantile : {0.5, 0.95, 0.99, 0.999}) {
    const double truth = 10000 * quantile;
    const double measured = histogram.QuantileMs(quantile);
    cr_expect(measured >= truth && measured <= truth * 1.012);
  }
  cr_assert_eq(histogram.max_ms(), 10000);
}

Test(LoadReportBuilder, CountsLateAndPartialAnswersSeparately) {
  const LoadPlan plan = Plan();
  LoadReportBuilder report_builder(plan);
  report_builder.Add(Answer(milliseconds(100), "1.0000"), seconds(2));
  report_builder.Add(Answer(milliseconds(600), "1.0000"), seconds(2));
  report_builder.Add(Answer(milliseconds(100), "0.5000"), seconds(3));
  const LoadReport report = report_builder.Report();
  cr_assert_eq(report.total.answered, 3);
  cr_assert_eq(report.total.in_time, 2);
  cr_assert_eq(report.total.complete_in_time, 1);
  cr_assert_eq(report.by_class.at("urgent").calls, 3);
  cr_assert_eq(report.coverage.answers.at("1.0"), 2);
  cr_assert_eq(report.coverage.lowest, 0.5);
  cr_assert_eq(report.snapshots.at("redactie 1.1"), 3);
  cr_assert_eq(report.seconds.size(), 2);
}

Test(LoadReportBuilder, ExcludesWarmUpFromTotals) {
  const LoadPlan plan = Plan();
  LoadReportBuilder report_builder(plan);
  report_builder.Add(Answer(milliseconds(100), "1.0000"), milliseconds(999));
  cr_assert_eq(report_builder.Report().total.calls, 0);
  cr_assert_eq(report_builder.min_sub_requests(), 2);
}

Test(LoadReportBuilder, CountsCallsWithoutAnAnswer) {
  const LoadPlan plan = Plan();
  LoadReportBuilder report_builder(plan);
  report_builder.Add({.front = FrontId("redactie"), .failure = "closed"},
                     seconds(2));
  const LoadReport report = report_builder.Report();
  cr_assert_eq(report.total.failed, 1);
  cr_assert_eq(report.statuses.at("none closed"), 1);
}

Test(LoadReport, ExtraLoadIsTheExcessOverRequiredSubRequests) {
  TargetCounts target{.slots = 2, .cold_slots = 1, .connections = 25};
  target.counts.received = 105;
  target.counts.peak_in_flight = 3;
  target.counts.violations[ViolationKind::kOverSlots] = 1;
  LoadReport report;
  report.targets = SumTargets({target}, 100);
  cr_assert_float_eq(report.targets.extra_load, 0.05, 1e-9);
  cr_assert_eq(report.targets.over_slots, 1);
  cr_assert(report.HasViolation());
}

Test(LoadReport, OverloadWithoutPriorEvidenceIsNoViolation) {
  TargetCounts target;
  target.counts.violations[ViolationKind::kOverColdLimitUnknown] = 1;
  LoadReport report;
  report.targets = SumTargets({target}, 0);
  cr_assert(!report.HasViolation());
}

Test(ReportCompare, PrintsTwoReportsSideBySide) {
  const LoadPlan plan = Plan();
  LoadReportBuilder report_builder(plan);
  report_builder.Add(Answer(milliseconds(100), "1.0000"), seconds(2));
  const std::string first = WriteJson(report_builder.Report());
  report_builder.Add(Answer(milliseconds(100), "1.0000"), seconds(2));
  const std::string second = WriteJson(report_builder.Report());
  const auto compared = CompareReports(first, second);
  cr_assert(compared.has_value());
  cr_assert(compared->find("total.calls") != std::string::npos);
  cr_assert(!CompareReports(first, "{}").has_value());
  cr_assert(PlotReport(first, "run.png").has_value());
}

}  // namespace
}  // namespace knapweedroad
