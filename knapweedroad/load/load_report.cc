#include "knapweedroad/load/load_report.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::ordered_json;

constexpr size_t kViolationsShown = 40;
constexpr size_t kShownOfATarget = 2;
constexpr int kIndent = 2;

ordered_json ToJson(const LatencySummary& latency) {
  return {{"count", latency.count},     {"p50_ms", latency.p50_ms},
          {"p95_ms", latency.p95_ms},   {"p99_ms", latency.p99_ms},
          {"p999_ms", latency.p999_ms}, {"max_ms", latency.max_ms}};
}

ordered_json ToJson(const GroupReport& group) {
  return {{"calls", group.calls},
          {"answered", group.answered},
          {"in_time", group.in_time},
          {"whole_in_time", group.complete_in_time},
          {"refused", group.refused},
          {"failed", group.failed},
          {"answers", ToJson(group.answers)},
          {"refusals", ToJson(group.refusals)}};
}

ordered_json ToJson(const std::map<std::string, GroupReport>& groups) {
  ordered_json object = ordered_json::object();
  for (const auto& [name, group] : groups) {
    object[name] = ToJson(group);
  }
  return object;
}

ordered_json ToJson(const CoverageReport& coverage) {
  return {{"lowest", coverage.lowest},
          {"mean", coverage.mean},
          {"whole_share", coverage.complete_share},
          {"answers", coverage.answers}};
}

ordered_json ToJson(const std::map<std::string, TargetRow>& rows) {
  ordered_json object = ordered_json::object();
  for (const auto& [name, row] : rows) {
    object[name] = {{"zone", row.zone},
                    {"received", row.received},
                    {"shed", row.shed},
                    {"peak_in_flight", row.peak_in_flight},
                    {"peak_connections", row.peak_connections},
                    {"connections_opened", row.connections_opened}};
  }
  return object;
}

ordered_json ToJson(const TargetsReport& targets) {
  return {{"targets", targets.targets},
          {"received", targets.received},
          {"executed", targets.executed},
          {"shed", targets.shed},
          {"cancelled", targets.cancelled},
          {"expired", targets.expired},
          {"falls_cold", targets.falls_cold},
          {"falls_over", targets.falls_over},
          {"least_needed", targets.min_sub_requests},
          {"extra_load", targets.extra_load},
          {"peak_in_flight", targets.peak_in_flight},
          {"peak_in_flight_cold", targets.peak_in_flight_cold},
          {"peak_connections", targets.peak_connections},
          {"over_slots", targets.over_slots},
          {"over_cold_limit", targets.over_cold_limit},
          {"over_connections", targets.over_connections},
          {"violations", targets.violations},
          {"by_target", ToJson(targets.by_target)},
          {"first_violations", targets.first_violations}};
}

ordered_json ToJson(const GeneratorReport& generator) {
  return {{"skipped", generator.skipped},
          {"worst_lag_ms", generator.worst_lag_ms},
          {"peak_outstanding", generator.peak_outstanding},
          {"timeline_failures", generator.timeline_failures}};
}

ordered_json ToJson(const std::vector<SecondReport>& seconds) {
  ordered_json list = ordered_json::array();
  for (const SecondReport& second : seconds) {
    list.push_back({{"second", second.second},
                    {"calls", second.calls},
                    {"answered", second.answered},
                    {"whole", second.complete},
                    {"refused", second.refused},
                    {"failed", second.failed},
                    {"p50_ms", second.p50_ms},
                    {"p99_ms", second.p99_ms}});
  }
  return list;
}

void AddTarget(const TargetCounts& target, TargetsReport& sum) {
  const SearcherCounts& counts = target.counts;
  ++sum.targets;
  sum.by_target[target.target.str()] = {
      .zone = target.zone.str(),
      .received = counts.received,
      .shed = counts.shed + counts.shed_by_fault,
      .peak_in_flight = counts.peak_in_flight,
      .peak_connections = counts.peak_connections,
      .connections_opened = counts.connections_opened};
  sum.received += counts.received;
  sum.executed += counts.executed;
  sum.shed += counts.shed + counts.shed_by_fault;
  sum.cancelled += counts.cancelled;
  sum.expired += counts.expired;
  sum.falls_cold += counts.falls_cold;
  sum.falls_over += counts.falls_over;
  sum.peak_in_flight = std::max(sum.peak_in_flight, counts.peak_in_flight);
  sum.peak_in_flight_cold =
      std::max(sum.peak_in_flight_cold, counts.peak_in_flight_cold);
  sum.peak_connections =
      std::max(sum.peak_connections, counts.peak_connections);
  sum.over_slots += counts.peak_in_flight > target.slots ? 1 : 0;
  sum.over_cold_limit += counts.peak_in_flight_cold > target.cold_slots ? 1 : 0;
  sum.over_connections += counts.peak_connections > target.connections ? 1 : 0;
  for (const auto& [kind, count] : counts.violations) {
    sum.violations[std::string(ToString(kind))] += count;
  }
  std::map<ViolationKind, size_t> shown;
  for (const TargetViolation& violation : counts.first_violations) {
    if (sum.first_violations.size() == kViolationsShown) {
      return;
    }
    if (++shown[violation.kind] > kShownOfATarget) {
      continue;
    }
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(violation.at);
    sum.first_violations.push_back(
        target.target.str() + " at " + std::to_string(at.count()) + " ms: " +
        std::string(ToString(violation.kind)) + ": " + violation.detail);
  }
}

}  // namespace

bool LoadReport::HasViolation() const {
  if (!this->violations.empty()) {
    return true;
  }
  const std::string unavoidable(ToString(ViolationKind::kOverColdLimitUnknown));
  return std::any_of(this->targets.violations.begin(),
                     this->targets.violations.end(),
                     [&unavoidable](const auto& violation) {
                       return violation.first != unavoidable;
                     });
}

TargetsReport SumTargets(const std::vector<TargetCounts>& counts,
                         uint64_t min_sub_requests) {
  TargetsReport sum;
  for (const TargetCounts& target : counts) {
    AddTarget(target, sum);
  }
  sum.min_sub_requests = min_sub_requests;
  if (min_sub_requests > 0) {
    sum.extra_load = static_cast<double>(sum.received) /
                         static_cast<double>(min_sub_requests) -
                     1.0;
  }
  return sum;
}

std::string WriteJson(const LoadReport& report) {
  const ordered_json object = {{"scenario", report.scenario},
                               {"run", report.run},
                               {"seed", report.seed},
                               {"duration_s", report.duration_s},
                               {"total", ToJson(report.total)},
                               {"by_front", ToJson(report.by_front)},
                               {"by_class", ToJson(report.by_class)},
                               {"by_tenant", ToJson(report.by_tenant)},
                               {"coverage", ToJson(report.coverage)},
                               {"statuses", report.statuses},
                               {"snapshots", report.snapshots},
                               {"refusals", report.refusals},
                               {"retry_after",
                                {{"present", report.retry_after_present},
                                 {"absent", report.retry_after_absent}}},
                               {"answers_checked", report.answers_checked},
                               {"broken", report.violations},
                               {"first_broken", report.first_violations},
                               {"targets", ToJson(report.targets)},
                               {"generator", ToJson(report.generator)},
                               {"seconds", ToJson(report.seconds)}};
  return object.dump(kIndent) + "\n";
}

}  // namespace knapweedroad
