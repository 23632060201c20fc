#include <algorithm>
#include <fstream>
#include <iostream>

#include <gflags/gflags.h>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/load/address_list.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/configuration_history.h"
#include "knapweedroad/testing/linearizability.h"

DEFINE_string(history_operators,
              "127.0.0.1:7003",
              "operator addresses of hosts, IP:PORT, separated by commas");
DEFINE_uint32(history_clients, 5, "clients at once");
DEFINE_uint32(history_seconds, 30, "how long they change and read");
DEFINE_uint32(history_seed, 1, "of what they do, not of what the hosts do");
DEFINE_string(history_file, "", "file for the history, a line an operation");

namespace knapweedroad {
namespace {

const char* Name(HistoryResult result) {
  switch (result) {
    case HistoryResult::kAccepted:
      return "accepted";
    case HistoryResult::kRejected:
      return "rejected";
    case HistoryResult::kOpen:
      break;
  }
  return "open";
}

void WriteHistory(const std::string& path,
                  const std::vector<HistoryOperation>& history) {
  std::ofstream file(path);
  for (const HistoryOperation& each : history) {
    file << each.start_ns << ' ' << each.end_ns << ' '
         << (each.kind == HistoryKind::kRead ? "read" : "change") << ' '
         << Name(each.result) << " version=" << each.version
         << " author=" << each.operator_id << '/' << each.request_id
         << " base=" << each.base_version.value_or(0)
         << " text=" << each.text.value_or("-")
         << " winner=" << each.winner_operator << '/' << each.winner_request
         << '\n';
  }
}

void PrintCounts(const std::vector<HistoryOperation>& history) {
  for (const HistoryKind kind : {HistoryKind::kChange, HistoryKind::kRead}) {
    std::cout << (kind == HistoryKind::kRead ? "reads:" : "changes sent:");
    for (const HistoryResult result :
         {HistoryResult::kAccepted, HistoryResult::kRejected,
          HistoryResult::kOpen}) {
      std::cout << ' '
                << std::count_if(history.begin(), history.end(),
                                 [&](const HistoryOperation& each) {
                                   return each.kind == kind &&
                                          each.result == result;
                                 })
                << ' ' << Name(result);
    }
    std::cout << '\n';
  }
}

int RunHistory(std::span<const std::string> words) {
  if (words.size() != 1) {
    return UsageError(kHistoryCommand, "it takes a deployment file");
  }
  const auto deployment = ReadFileOrComplain(words[0]);
  const auto operators = ParseAddressList(FLAGS_history_operators);
  if (!deployment || !operators) {
    return kExitUsage;
  }
  Runtime runtime;
  tl::expected<std::vector<HistoryOperation>, std::string> history;
  runtime.Spawn([&] {
    ConfigurationHistory clients(
        runtime, {.operators = *operators,
                  .deployment = *deployment,
                  .clients = FLAGS_history_clients,
                  .duration = std::chrono::seconds(FLAGS_history_seconds),
                  .seed = FLAGS_history_seed});
    history = clients.Run();
    runtime.Stop();
  });
  runtime.Run();
  if (!history) {
    Complain(history.error());
    return kExitFailed;
  }
  PrintCounts(*history);
  if (!FLAGS_history_file.empty()) {
    WriteHistory(FLAGS_history_file, *history);
  }
  const auto checked = CheckLinearizable(*history);
  std::cout << (checked ? "linearizable" : "BROKEN: " + checked.error())
            << '\n';
  return checked ? kExitDone : kExitFailed;
}

}  // namespace

const Command kHistoryCommand{
    .name = "history",
    .summary = "changes and reads the configuration, and checks the history",
    .usage =
        "history DEPLOYMENT.json\n\nFor trials only: it changes the "
        "deployment's name again and again. Exit 1 where the\nanswers can't be "
        "those of one copy.\n",
    .flags_file = "history_command",
    .run = RunHistory};

}  // namespace knapweedroad
