#include "knapweedroad/load/load_command.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "knapweedroad/load/address_list.h"
#include "knapweedroad/load/load_runner.h"
#include "knapweedroad/load/report_compare.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": cannot read file\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

bool WriteFile(const std::string& file, const std::string& text) {
  std::ofstream out(file);
  out << text;
  out.flush();
  if (!out) {
    std::cerr << file << ": cannot write file\n";
    return false;
  }
  return true;
}

std::string RunName() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(now);
  return "r" + std::to_string(milliseconds.count());
}

std::optional<LoadPlan> ReadPlan(const LoadCommandOptions& options) {
  const auto text = ReadFile(options.scenario_file);
  if (!text) {
    return std::nullopt;
  }
  auto plan = ReadLoadPlan(*text);
  if (!plan) {
    for (const std::string& error : plan.error()) {
      std::cerr << options.scenario_file << ": " << error << "\n";
    }
    return std::nullopt;
  }
  plan->seed = options.seed.value_or(plan->seed);
  for (CallStream& stream : plan->streams) {
    stream.rate_per_second *= options.rate_scale;
  }
  return std::move(*plan);
}

bool ReadAddresses(const char* flag,
                   const std::string& text,
                   std::vector<Endpoint>& list) {
  auto parsed = ParseAddressList(text);
  if (!parsed) {
    std::cerr << "--" << flag << ": " << parsed.error() << "\n";
    return false;
  }
  list = std::move(*parsed);
  return true;
}

std::optional<LoadRunOptions> PrepareRun(const LoadCommandOptions& options) {
  auto plan = ReadPlan(options);
  if (!plan) {
    return std::nullopt;
  }
  LoadRunOptions run{.plan = std::move(*plan),
                     .run = options.run.empty() ? RunName() : options.run,
                     .warm_up_targets = options.warm_up_targets};
  if (!ReadAddresses("callers", options.callers, run.callers) ||
      !ReadAddresses("operators", options.operators, run.operators) ||
      !ReadAddresses("controls", options.controls, run.controls)) {
    return std::nullopt;
  }
  if (run.callers.empty()) {
    std::cerr << "--callers: at least one address is required\n";
    return std::nullopt;
  }
  return run;
}

bool WriteOutputs(const LoadCommandOptions& options, const LoadReport& report) {
  const std::string json = WriteJson(report);
  if (!options.json_file.empty() && !WriteFile(options.json_file, json)) {
    return false;
  }
  if (options.plot_file.empty()) {
    return true;
  }
  const auto plot = PlotReport(json, options.plot_image);
  return plot && WriteFile(options.plot_file, *plot);
}

}  // namespace

int RunLoadCommand(const LoadCommandOptions& options) {
  auto run = PrepareRun(options);
  if (!run) {
    return kLoadExitUsage;
  }
  Runtime runtime;
  LoadRunner runner(runtime, std::move(*run));
  const LoadReport report = runner.Run();
  std::cout << WriteText(report);
  if (!WriteOutputs(options, report)) {
    return kLoadExitUsage;
  }
  return report.HasViolation() ? kLoadExitViolation : kLoadExitOk;
}

int RunLoadCompareCommand(const std::string& first_file,
                          const std::string& second_file) {
  const auto first = ReadFile(first_file);
  const auto second = ReadFile(second_file);
  if (!first || !second) {
    return kLoadExitUsage;
  }
  const auto compared = CompareReports(*first, *second);
  if (!compared) {
    std::cerr << compared.error() << "\n";
    return kLoadExitUsage;
  }
  std::cout << *compared;
  return kLoadExitOk;
}

int RunLoadPlotCommand(const std::string& file, const std::string& image) {
  const auto report = ReadFile(file);
  if (!report) {
    return kLoadExitUsage;
  }
  const auto plot = PlotReport(*report, image);
  if (!plot) {
    std::cerr << plot.error() << "\n";
    return kLoadExitUsage;
  }
  std::cout << *plot;
  return kLoadExitOk;
}

}  // namespace knapweedroad
