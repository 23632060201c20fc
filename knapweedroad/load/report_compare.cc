#include "knapweedroad/load/report_compare.h"

#include <iomanip>
#include <map>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr int kPathWidth = 52;
constexpr int kCellWidth = 14;

// Figures by their path, such as "total.answers.p99_ms".
using Figures = std::map<std::string, double>;

void Collect(const json& value, const std::string& path, Figures& figures) {
  if (value.is_number()) {
    figures[path] = value.get<double>();
  }
  if (!value.is_object()) {
    return;
  }
  for (const auto& [name, member] : value.items()) {
    std::string member_path = path;
    member_path += path.empty() ? "" : ".";
    member_path += name;
    Collect(member, member_path, figures);
  }
}

tl::expected<json, std::string> Parse(std::string_view text,
                                      const char* which) {
  json report = json::parse(text, nullptr, false);
  if (!report.is_object() || !report.contains("total") ||
      !report.contains("seconds")) {
    return tl::unexpected(std::string(which) +
                          " is not a JSON report of the load command");
  }
  return report;
}

void WriteCell(std::ostream& out, std::optional<double> figure) {
  out << std::setw(kCellWidth);
  if (figure) {
    out << *figure;
  } else {
    out << "-";
  }
}

std::optional<double> Find(const Figures& figures, const std::string& path) {
  const auto found = figures.find(path);
  if (found == figures.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace

tl::expected<std::string, std::string> CompareReports(std::string_view first,
                                                      std::string_view second) {
  const auto left = Parse(first, "the first file");
  if (!left) {
    return tl::unexpected(left.error());
  }
  const auto right = Parse(second, "the second file");
  if (!right) {
    return tl::unexpected(right.error());
  }
  Figures left_figures;
  Figures right_figures;
  Collect(*left, "", left_figures);
  Collect(*right, "", right_figures);
  Figures all = left_figures;
  all.insert(right_figures.begin(), right_figures.end());

  std::ostringstream out;
  out << std::setprecision(6) << std::left << std::setw(kPathWidth) << "figure"
      << std::right << std::setw(kCellWidth) << "first" << std::setw(kCellWidth)
      << "second" << std::setw(kCellWidth) << "second/first"
      << "\n";
  for (const auto& [path, ignored] : all) {
    const auto left_figure = Find(left_figures, path);
    const auto right_figure = Find(right_figures, path);
    out << std::left << std::setw(kPathWidth) << path << std::right;
    WriteCell(out, left_figure);
    WriteCell(out, right_figure);
    if (left_figure && right_figure && *left_figure != 0.0) {
      WriteCell(out, *right_figure / *left_figure);
    }
    out << "\n";
  }
  return out.str();
}

tl::expected<std::string, std::string> PlotReport(std::string_view report,
                                                  std::string_view image) {
  const auto parsed = Parse(report, "the file");
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  std::ostringstream out;
  out << "$seconds << END\n";
  for (const json& row : parsed->at("seconds")) {
    for (const char* column : {"second", "whole", "answered", "refused",
                               "failed", "p50_ms", "p99_ms"}) {
      out << row.value(column, 0.0) << " ";
    }
    out << "\n";
  }
  out << "END\n"
      << "set terminal pngcairo size 1000,800\n"
      << "set output '" << image << "'\n"
      << "set multiplot layout 2,1 title '"
      << parsed->value("scenario", std::string()) << "'\n"
      << "set xlabel 'second of the run'\n"
      << "set ylabel 'calls'\n"
      << "plot $seconds using 1:2 with lines title 'whole', "
      << "$seconds using 1:3 with lines title 'answered', "
      << "$seconds using 1:4 with lines title 'refused', "
      << "$seconds using 1:5 with lines title 'failed'\n"
      << "set ylabel 'latency of answers, ms'\n"
      << "set logscale y\n"
      << "plot $seconds using 1:6 with lines title 'p50', "
      << "$seconds using 1:7 with lines title 'p99'\n"
      << "unset multiplot\n";
  return out.str();
}

}  // namespace knapweedroad
