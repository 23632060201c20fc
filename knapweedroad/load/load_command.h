// The `load` subcommand: runs a scenario, or compares or draws reports.

#ifndef KNAPWEEDROAD_LOAD_LOAD_COMMAND_H_
#define KNAPWEEDROAD_LOAD_LOAD_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedroad {

struct LoadCommandOptions {
  std::string scenario_file;
  // Address lists, see ParseAddressList().
  std::string callers;
  std::string operators;
  std::string controls;
  // Names the run in its request ids; made from the time where empty.
  std::string run;
  // Instead of the scenario's own.
  std::optional<uint64_t> seed;
  // Multiplies every rate of the scenario.
  double rate_scale = 1.0;
  // Ends all cold starts first: for hosts that can't.
  bool warm_up_targets = false;
  // Files to write, where given: the report, and a gnuplot script that draws
  // it into `plot_image`.
  std::string json_file;
  std::string plot_file;
  std::string plot_image = "load.png";
};

inline constexpr int kLoadExitOk = 0;
inline constexpr int kLoadExitViolation = 1;
inline constexpr int kLoadExitUsage = 2;

// Runs the scenario and prints the report. The exit code: kLoadExitViolation
// where the run saw a promise broken, kLoadExitUsage where a file or address is
// wrong.
int RunLoadCommand(const LoadCommandOptions& options);

// `load compare A.json B.json`: prints both side by side.
int RunLoadCompareCommand(const std::string& first_file,
                          const std::string& second_file);

// `load plot A.json`: prints the gnuplot script of a report.
int RunLoadPlotCommand(const std::string& file, const std::string& image);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_COMMAND_H_
