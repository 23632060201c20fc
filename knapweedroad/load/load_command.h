// The `load` subcommand: runs a scenario, compares two reports or plots one.

#ifndef KNAPWEEDROAD_LOAD_LOAD_COMMAND_H_
#define KNAPWEEDROAD_LOAD_LOAD_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedroad {

struct LoadCommandOptions {
  std::string scenario_file;
  // Address lists in the format of ParseAddressList().
  std::string callers;
  std::string operators;
  std::string controls;
  // The run's name, a part of every request id. If empty, a name is derived
  // from the current time.
  std::string run;
  // Overrides the seed of the scenario.
  std::optional<uint64_t> seed;
  // Multiplies every rate of the scenario.
  double rate_scale = 1.0;
  // Ends the cold starts of all targets before the run, for hosts that can't
  // warm up their targets.
  bool warm_up_targets = false;
  // Output files, not written if empty: the JSON report, and a gnuplot script
  // that plots it to `plot_image`.
  std::string json_file;
  std::string plot_file;
  std::string plot_image = "load.png";
};

inline constexpr int kLoadExitOk = 0;
inline constexpr int kLoadExitViolation = 1;
inline constexpr int kLoadExitUsage = 2;

// Runs the scenario and prints the report. Returns kLoadExitViolation if the
// run detected a violated guarantee, kLoadExitUsage if a file or an address is
// invalid, and kLoadExitOk otherwise.
int RunLoadCommand(const LoadCommandOptions& options);

// `load compare A.json B.json`: prints both reports side by side.
int RunLoadCompareCommand(const std::string& first_file,
                          const std::string& second_file);

// `load plot A.json`: prints the gnuplot script of a report.
int RunLoadPlotCommand(const std::string& file, const std::string& image);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LOAD_COMMAND_H_
