// The `baseline` subcommand: BaselineHost as a process.

#ifndef KNAPWEEDROAD_TESTING_BASELINE_COMMAND_H_
#define KNAPWEEDROAD_TESTING_BASELINE_COMMAND_H_

#include <string>

#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

struct BaselineCommandOptions {
  std::string deployment_file;
  Endpoint caller_address;
  Endpoint target_address;
};

// Serves until SIGTERM or SIGINT. The exit code: 0, or 2 where the file is
// wrong or a port can't be had.
int RunBaselineCommand(const BaselineCommandOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_BASELINE_COMMAND_H_
