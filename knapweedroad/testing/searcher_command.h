// The `searcher` subcommand: stand-in searchers as a process.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_COMMAND_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_COMMAND_H_

#include <string>

#include "knapweedroad/base/time.h"
#include "knapweedroad/testing/stand_in_fleet.h"

namespace knapweedroad {

struct SearcherCommandOptions {
  // The deployment's configuration file.
  std::string deployment_file;
  FleetOptions fleet;
  // How long a shutdown waits for the work that still comes.
  Duration leave_timeout = std::chrono::seconds(10);
};

// Runs the selected searchers until SIGTERM or SIGINT, then lets them leave:
// they say so and serve on until nothing comes any more. Prints a line for
// each to the standard output. The exit code: 0, or 2 where the file or the
// selection is wrong or a port can't be had.
int RunSearcherCommand(const SearcherCommandOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_COMMAND_H_
