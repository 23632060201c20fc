#include <iostream>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/parse_host_settings.h"

namespace knapweedroad {
namespace {

// A file with a `fronts` key is a configuration, any other one host settings.
bool LooksLikeDeployment(const std::string& text) {
  return text.find("\"fronts\"") != std::string::npos ||
         text.find("\"zones\"") != std::string::npos;
}

std::vector<ConfigError> Check(const std::string& text,
                               const std::string& file) {
  if (LooksLikeDeployment(text)) {
    auto parsed = ParseDeployment(text, file);
    return parsed ? std::vector<ConfigError>() : std::move(parsed.error());
  }
  auto parsed = ParseHostSettings(text, file);
  return parsed ? std::vector<ConfigError>() : std::move(parsed.error());
}

int RunCheck(std::span<const std::string> words) {
  if (words.empty()) {
    return UsageError(kCheckCommand, "it needs a file");
  }
  int code = kExitDone;
  for (const std::string& file : words) {
    const auto text = ReadFileOrComplain(file);
    if (!text) {
      code = kExitUsage;
      continue;
    }
    const auto errors = Check(*text, file);
    for (const ConfigError& error : errors) {
      std::cerr << error.ToString() << "\n";
    }
    if (errors.empty()) {
      std::cout << file << ": good\n";
    } else {
      code = kExitUsage;
    }
  }
  return code;
}

}  // namespace

const Command kCheckCommand{
    .name = "check",
    .summary = "checks configuration and settings files in full",
    .usage =
        "check FILE...\n\nPrints every error as FILE:LINE:COLUMN: PATH: "
        "MESSAGE; REMEDY.\nExit 0 where all are good, else 2.\n",
    .flags_file = "check_command",
    .run = RunCheck};

}  // namespace knapweedroad
