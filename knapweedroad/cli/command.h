// A subcommand of the `knapweedroad` binary and what all of them share.
//
//   const Command kCheck{.name = "check", .summary = "...",
//                        .usage = "check FILE...", .flags_file =
//                        "check_command", .run = RunCheck};

#ifndef KNAPWEEDROAD_CLI_COMMAND_H_
#define KNAPWEEDROAD_CLI_COMMAND_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedroad {

// Exit codes of every subcommand.
inline constexpr int kExitDone = 0;
// It was understood and could not be done (refused, not reachable, rejected).
inline constexpr int kExitFailed = 1;
// The words of the command or a file it names are wrong; nothing was done.
inline constexpr int kExitUsage = 2;
// A change whose outcome isn't known: resend it under the same request id.
inline constexpr int kExitUnknown = 3;

struct Command {
  std::string_view name;
  std::string_view summary;
  // Its words, and below them a line for each thing worth knowing.
  std::string_view usage;
  // The source file that defines its flags, without ending.
  std::string_view flags_file;
  // Gets the words that are no flags.
  int (*run)(std::span<const std::string> words);
};

extern const Command kServeCommand;
extern const Command kCheckCommand;
extern const Command kApplyCommand;
extern const Command kZoneCommand;
extern const Command kReplicaCommand;
extern const Command kStatusCommand;
extern const Command kQueryCommand;
extern const Command kDevCommand;
extern const Command kSearcherCommand;
extern const Command kLoadCommand;
extern const Command kHistoryCommand;
extern const Command kEntryCommand;
extern const Command kControlCommand;
extern const Command kRolloutCommand;

// The file's text, or nothing after printing why it can't be read.
std::optional<std::string> ReadFileOrComplain(const std::string& path);

// Prints to standard error: "knapweedroad: TEXT".
void Complain(std::string_view text);

// Ends a server's process after its last answer, with the logs written.
//
// The parts of a host are never destroyed: fibers that still sleep would wake
// on freed memory.
[[noreturn]] void EndServer(int code);

// An error of usage: prints it and where help is; returns kExitUsage.
int UsageError(const Command& command, std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CLI_COMMAND_H_
