#include "knapweedroad/load/load_report_builder.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "knapweedroad/load/load_plan.h"
#include "knapweedroad/testing/call_record.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr int kStatusAnswered = 200;
constexpr int kStatusNoRecord = 404;

struct CoverageBucket {
  double at_least;
  const char* name;
};

constexpr std::array kCoverageBuckets = {
    CoverageBucket{1.0, "1.0"},      CoverageBucket{0.99, "0.99-1.0"},
    CoverageBucket{0.9, "0.9-0.99"}, CoverageBucket{0.5, "0.5-0.9"},
    CoverageBucket{1e-9, "0.0-0.5"}, CoverageBucket{0.0, "0.0"},
};

bool IsAnswer(const CallRecord& call) {
  const bool is_missing_record =
      call.kind != CallKind::kQuery && call.status == kStatusNoRecord &&
      FindHeader(call.headers, "Knapweed-Outcome") == "run";
  return call.status == kStatusAnswered || is_missing_record;
}

// Record calls always have full coverage.
double CoverageOf(const CallRecord& call) {
  if (call.kind != CallKind::kQuery) {
    return 1.0;
  }
  const std::string_view text = FindHeader(call.headers, "Knapweed-Coverage");
  double coverage = 0.0;
  std::from_chars(text.data(), text.data() + text.size(), coverage);
  return coverage;
}

bool IsComplete(const CallRecord& call) {
  return IsAnswer(call) && CoverageOf(call) >= 1.0;
}

LatencySummary Summary(const LatencyHistogram& histogram) {
  return {.count = histogram.count(),
          .p50_ms = histogram.QuantileMs(0.5),
          .p95_ms = histogram.QuantileMs(0.95),
          .p99_ms = histogram.QuantileMs(0.99),
          .p999_ms = histogram.QuantileMs(0.999),
          .max_ms = histogram.max_ms()};
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string TitleOf(const CallRecord& call) {
  const json body = json::parse(call.body, nullptr, false);
  if (!body.is_object() || !body.contains("title") ||
      !body["title"].is_string()) {
    return std::to_string(call.status);
  }
  return std::to_string(call.status) + " " + body["title"].get<std::string>();
}

}  // namespace

LoadReportBuilder::LoadReportBuilder(const LoadPlan& plan) : plan(&plan) {
  this->report.scenario = plan.name;
  this->report.seed = plan.seed;
  this->report.duration_s = Seconds(plan.duration - plan.warm_up);
  this->report.coverage.lowest = 1.0;
}

void LoadReportBuilder::Add(const CallRecord& call, Duration at) {
  this->AddRequiredSubRequests(call);
  this->AddToSecond(call, at);
  if (at < this->plan->warm_up) {
    return;
  }
  this->AddTo(this->total, call);
  this->AddTo(this->by_front[call.front.str()], call);
  this->AddTo(this->by_class[call.request_class], call);
  this->AddTo(this->by_tenant[call.tenant.str()], call);
  this->AddStatus(call);
  this->AddCoverage(call);
}

void LoadReportBuilder::AddTo(Group& group, const CallRecord& call) const {
  GroupReport& counts = group.counts;
  ++counts.calls;
  if (call.status == 0) {
    ++counts.failed;
    return;
  }
  if (!IsAnswer(call)) {
    ++counts.refused;
    group.refusals.Add(call.latency);
    return;
  }
  ++counts.answered;
  group.answers.Add(call.latency);
  const bool is_in_time = call.latency <= call.deadline;
  counts.in_time += is_in_time ? 1 : 0;
  counts.complete_in_time += is_in_time && IsComplete(call) ? 1 : 0;
}

void LoadReportBuilder::AddToSecond(const CallRecord& call, Duration at) {
  const auto index = static_cast<uint32_t>(Seconds(at));
  Second& second = this->seconds[index];
  second.counts.second = index;
  ++second.counts.calls;
  if (call.status == 0) {
    ++second.counts.failed;
  } else if (!IsAnswer(call)) {
    ++second.counts.refused;
  } else {
    ++second.counts.answered;
    second.counts.complete += IsComplete(call) ? 1 : 0;
    second.answers.Add(call.latency);
  }
}

void LoadReportBuilder::AddStatus(const CallRecord& call) {
  if (call.status == 0) {
    ++this->report.statuses["none " + call.failure];
    return;
  }
  std::string status = std::to_string(call.status);
  if (call.status == kStatusAnswered) {
    ++this->report.statuses[status];
    std::string snapshot = call.front.str() + " ";
    snapshot += FindHeader(call.headers, "Knapweed-Snapshot");
    ++this->report.snapshots[snapshot];
    return;
  }
  status += " ";
  status += FindHeader(call.headers, "Knapweed-Outcome");
  ++this->report.statuses[status];
  if (IsAnswer(call)) {
    return;
  }
  ++this->report.refusals[TitleOf(call)];
  const bool has_retry_after = !FindHeader(call.headers, "Retry-After").empty();
  ++(has_retry_after ? this->report.retry_after_present
                     : this->report.retry_after_absent);
}

void LoadReportBuilder::AddCoverage(const CallRecord& call) {
  if (call.kind != CallKind::kQuery || call.status != kStatusAnswered) {
    return;
  }
  const double coverage = CoverageOf(call);
  const auto bucket =
      std::find_if(kCoverageBuckets.begin(), kCoverageBuckets.end() - 1,
                   [coverage](const CoverageBucket& bucket) {
                     return coverage >= bucket.at_least;
                   });
  ++this->report.coverage.answers[bucket->name];
  this->report.coverage.lowest =
      std::min(this->report.coverage.lowest, coverage);
  this->coverage_sum += coverage;
  ++this->coverage_count;
  this->complete_count += coverage >= 1.0 ? 1 : 0;
}

void LoadReportBuilder::AddRequiredSubRequests(const CallRecord& call) {
  if (!IsAnswer(call)) {
    return;
  }
  if (call.kind != CallKind::kQuery) {
    ++this->required_sub_requests;
    return;
  }
  const auto front = std::find_if(
      this->plan->fronts.begin(), this->plan->fronts.end(),
      [&call](const FrontTruth& truth) { return truth.name == call.front; });
  const auto snapshot =
      SnapshotId::Parse(FindHeader(call.headers, "Knapweed-Snapshot"));
  const json body = json::parse(call.body, nullptr, false);
  if (front == this->plan->fronts.end() || !snapshot || !body.is_object()) {
    return;
  }
  const auto units = front->units.find(snapshot->generation);
  if (units != front->units.end() && body.contains("missing_services")) {
    this->required_sub_requests +=
        units->second.size() - body["missing_services"].size();
  }
}

LoadReport LoadReportBuilder::Report() const {
  LoadReport result = this->report;
  result.total = Summarize(this->total);
  result.by_front = Summarize(this->by_front);
  result.by_class = Summarize(this->by_class);
  result.by_tenant = Summarize(this->by_tenant);
  if (this->coverage_count > 0) {
    const auto count = static_cast<double>(this->coverage_count);
    result.coverage.mean = this->coverage_sum / count;
    result.coverage.complete_share =
        static_cast<double>(this->complete_count) / count;
  } else {
    result.coverage.lowest = 0.0;
  }
  for (const auto& [index, second] : this->seconds) {
    SecondReport row = second.counts;
    row.p50_ms = second.answers.QuantileMs(0.5);
    row.p99_ms = second.answers.QuantileMs(0.99);
    result.seconds.push_back(row);
  }
  return result;
}

GroupReport LoadReportBuilder::Summarize(const Group& group) {
  GroupReport summary = group.counts;
  summary.answers = Summary(group.answers);
  summary.refusals = Summary(group.refusals);
  return summary;
}

std::map<std::string, GroupReport> LoadReportBuilder::Summarize(
    const Groups& groups) {
  std::map<std::string, GroupReport> summaries;
  for (const auto& [name, group] : groups) {
    summaries[name] = Summarize(group);
  }
  return summaries;
}

}  // namespace knapweedroad
