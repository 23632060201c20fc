// Formats a LoadReport as human-readable text.

#include <iomanip>
#include <ostream>
#include <sstream>

#include "knapweedroad/load/load_report.h"

namespace knapweedroad {
namespace {

constexpr int kNameWidth = 28;
constexpr int kCellWidth = 10;

void WriteHead(std::ostream& out, const char* title) {
  out << "\n" << std::left << std::setw(kNameWidth) << title << std::right;
  for (const char* name :
       {"calls", "answered", "in time", "whole", "refused", "failed", "p50 ms",
        "p95 ms", "p99 ms", "p99.9 ms", "max ms"}) {
    out << std::setw(kCellWidth) << name;
  }
  out << "\n";
}

void WriteGroup(std::ostream& out,
                const std::string& name,
                const GroupReport& group) {
  out << std::left << std::setw(kNameWidth) << name << std::right;
  for (const uint64_t cell :
       {group.calls, group.answered, group.in_time, group.complete_in_time,
        group.refused, group.failed}) {
    out << std::setw(kCellWidth) << cell;
  }
  const LatencySummary& latency = group.answers;
  for (const double cell : {latency.p50_ms, latency.p95_ms, latency.p99_ms,
                            latency.p999_ms, latency.max_ms}) {
    out << std::setw(kCellWidth) << cell;
  }
  out << "\n";
}

void WriteGroups(std::ostream& out,
                 const char* title,
                 const std::map<std::string, GroupReport>& groups) {
  WriteHead(out, title);
  for (const auto& [name, group] : groups) {
    WriteGroup(out, name, group);
  }
}

void WriteTable(std::ostream& out,
                const char* title,
                const std::map<std::string, uint64_t>& table) {
  out << "\n" << title << "\n";
  for (const auto& [name, count] : table) {
    out << "  " << std::left << std::setw(kNameWidth + kCellWidth) << name
        << std::right << std::setw(kCellWidth) << count << "\n";
  }
}

void WriteList(std::ostream& out, const std::vector<std::string>& lines) {
  for (const std::string& line : lines) {
    out << "    " << line << "\n";
  }
}

void WriteTargets(std::ostream& out, const TargetsReport& targets) {
  out << "\ntargets, as they counted (" << targets.targets << ")\n"
      << "  sub-requests received " << targets.received << ", executed "
      << targets.executed << ", shed " << targets.shed << ", cancelled "
      << targets.cancelled << ", expired " << targets.expired << "\n"
      << "  least needed " << targets.min_sub_requests << ", extra load "
      << std::setprecision(2) << targets.extra_load * 100.0 << "%\n"
      << "  peak in flight " << targets.peak_in_flight << " ("
      << targets.over_slots << " targets over their slots), while cold "
      << targets.peak_in_flight_cold << " (" << targets.over_cold_limit
      << " over their cold limit), connections " << targets.peak_connections
      << " (" << targets.over_connections << " over their cap)\n"
      << "  fell cold " << targets.falls_cold << ", fell over "
      << targets.falls_over << "\n";
}

}  // namespace

std::string WriteText(const LoadReport& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << report.scenario << ", run " << report.run << ", seed " << report.seed
      << ", " << report.duration_s << " s measured\n";
  WriteHead(out, "");
  WriteGroup(out, "all", report.total);
  WriteGroups(out, "front", report.by_front);
  WriteGroups(out, "class", report.by_class);
  WriteGroups(out, "tenant", report.by_tenant);
  WriteTable(out, "answers by coverage", report.coverage.answers);
  out << std::setprecision(4) << "  lowest " << report.coverage.lowest
      << ", mean " << report.coverage.mean << ", whole "
      << report.coverage.complete_share << " of the answers\n";
  WriteTable(out, "statuses", report.statuses);
  WriteTable(out, "answers by snapshot", report.snapshots);
  WriteTable(out, "refusals", report.refusals);
  out << "  with Retry-After " << report.retry_after_present << ", without "
      << report.retry_after_absent << "\n"
      << std::setprecision(2);
  WriteTargets(out, report.targets);
  WriteTable(out, "broken promises to targets", report.targets.violations);
  WriteList(out, report.targets.first_violations);
  WriteTable(out, "broken promises to callers", report.violations);
  WriteList(out, report.first_violations);
  out << "  answers compared with the truth: " << report.answers_checked
      << "\n\ngenerator: not sent " << report.generator.skipped
      << ", worst lag " << report.generator.worst_lag_ms
      << " ms, most unanswered at once " << report.generator.peak_outstanding
      << "\n";
  WriteList(out, report.generator.timeline_failures);
  return out.str();
}

}  // namespace knapweedroad
