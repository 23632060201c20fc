// What the processes of all roles do alike: read their settings, log to
// standard output, reload on SIGHUP and stop on SIGTERM.
//
//   return RunRole(kEntryCommand, words, {.serve = ServeEntry});

#ifndef KNAPWEEDROAD_CLI_ROLE_PROCESS_H_
#define KNAPWEEDROAD_CLI_ROLE_PROCESS_H_

#include <functional>
#include <span>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/config/role_settings.h"

namespace knapweedroad {

class Runtime;
struct Command;

// A role's host, as its process drives it.
struct RoleHost {
  std::function<tl::expected<void, std::string>()> start;
  std::function<void(const RoleSettings&)> reload;
  // Blocks the calling fiber until the host may end.
  std::function<void()> shutdown;
};

// Makes the host; `on_tick` is to be called every 100 ms.
using MakeRoleHost = std::function<RoleHost(Runtime& runtime,
                                            const RoleSettings& settings,
                                            std::function<void()> on_tick)>;

// Runs until a termination signal; the exit code.
int RunRole(const Command& command,
            std::span<const std::string> words,
            const MakeRoleHost& make);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CLI_ROLE_PROCESS_H_
