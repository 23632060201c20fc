#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "knapweedroad/cli/command.h"

namespace knapweedroad {
namespace {

constexpr std::array kCommands = {
    &kServeCommand,    &kCheckCommand,  &kApplyCommand,   &kZoneCommand,
    &kReplicaCommand,  &kStatusCommand, &kQueryCommand,   &kDevCommand,
    &kSearcherCommand, &kLoadCommand,   &kHistoryCommand, &kEntryCommand,
    &kControlCommand,  &kRolloutCommand};

void PrintOverview(std::ostream& out) {
  out << "knapweedroad COMMAND [words and flags]\n\n";
  for (const Command* command : kCommands) {
    out << "  " << command->name << std::string(10 - command->name.size(), ' ')
        << command->summary << "\n";
  }
  out << "\n`knapweedroad COMMAND --help` shows its words and flags.\n"
         "Exit codes: 0 done; 1 understood, but not done; 2 wrong words or "
         "files, nothing was done;\n3 a change whose outcome is not known "
         "(resend it under the same request id).\n";
}

const Command* FindCommand(std::string_view name) {
  const auto found = std::find_if(
      kCommands.begin(), kCommands.end(),
      [&](const Command* command) { return command->name == name; });
  return found == kCommands.end() ? nullptr : *found;
}

bool IsHelp(std::string_view word) {
  return word == "--help" || word == "-help" || word == "-h";
}

void PrintHelp(const Command& command) {
  std::cout << "knapweedroad " << command.usage << "\n";
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  const std::string file = "/" + std::string(command.flags_file) + ".cc";
  for (const auto& flag : flags) {
    if (("/" + flag.filename).ends_with(file)) {
      std::cout << "  --" << flag.name << "  " << flag.description
                << " (default: "
                << (flag.default_value.empty() ? "none" : flag.default_value)
                << ")\n";
    }
  }
}

int Main(int argc, char** argv) {
  if (argc < 2 || IsHelp(argv[1])) {
    PrintOverview(argc < 2 ? std::cerr : std::cout);
    return argc < 2 ? kExitUsage : kExitDone;
  }
  const Command* command = FindCommand(argv[1]);
  if (command == nullptr) {
    Complain("there is no command '" + std::string(argv[1]) + "'");
    PrintOverview(std::cerr);
    return kExitUsage;
  }
  if (std::any_of(argv + 2, argv + argc, IsHelp)) {
    PrintHelp(*command);
    return kExitDone;
  }
  FLAGS_logtostderr = true;
  // The first word is the command, which gflags would take for the program.
  char** words = argv + 1;
  int count = argc - 1;
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  google::InitGoogleLogging(argv[0]);
  const std::vector<std::string> rest(words + 1, words + count);
  return command->run(rest);
}

}  // namespace
}  // namespace knapweedroad

int main(int argc, char** argv) {
  knapweedroad::EndServer(knapweedroad::Main(argc, argv));
}
