#include <gflags/gflags.h>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/load/load_command.h"

DEFINE_string(load_callers, "127.0.0.1:7001", "caller addresses, IP:PORT,...");
DEFINE_string(load_operators, "", "operator addresses, for zones out and in");
DEFINE_string(load_controls, "", "control addresses of stand-in searchers");
DEFINE_string(run, "", "names the run in its request ids");
DEFINE_uint64(seed, 0, "seed in place of the scenario's; 0: the scenario's");
DEFINE_double(rate_scale, 1.0, "multiplies every rate of the scenario");
DEFINE_string(json, "", "file for the report as JSON");
DEFINE_string(plot, "", "file for a gnuplot script of the report");
DEFINE_string(image, "load.png", "what that script draws into");

namespace knapweedroad {
namespace {

int RunLoad(std::span<const std::string> words) {
  if (words.size() == 3 && words[0] == "compare") {
    return RunLoadCompareCommand(words[1], words[2]);
  }
  if (words.size() == 2 && words[0] == "plot") {
    return RunLoadPlotCommand(words[1], FLAGS_image);
  }
  if (words.size() != 1) {
    return UsageError(kLoadCommand, "it takes a scenario file");
  }
  LoadCommandOptions options{.scenario_file = words[0],
                             .callers = FLAGS_load_callers,
                             .operators = FLAGS_load_operators,
                             .controls = FLAGS_load_controls,
                             .run = FLAGS_run,
                             .rate_scale = FLAGS_rate_scale,
                             .json_file = FLAGS_json,
                             .plot_file = FLAGS_plot,
                             .plot_image = FLAGS_image};
  if (FLAGS_seed != 0) {
    options.seed = FLAGS_seed;
  }
  return RunLoadCommand(options);
}

}  // namespace

const Command kLoadCommand{
    .name = "load",
    .summary = "sends open-loop load and checks every answer",
    .usage =
        "load SCENARIO.json | load compare A.json B.json | load plot "
        "A.json\n\nExit 1 where a promise was seen broken.\n",
    .flags_file = "load_command_line",
    .run = RunLoad};

}  // namespace knapweedroad
