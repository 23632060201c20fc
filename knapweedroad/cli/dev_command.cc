#include <iostream>
#include <memory>
#include <vector>

#include <gflags/gflags.h>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/cli/dev_deployment.h"
#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/print_deployment.h"
#include "knapweedroad/host/host.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/stand_in_fleet.h"
#include "knapweedroad/testing/stand_in_searcher.h"

DEFINE_int32(first_port, 7000, "the first of the ports it uses");
DEFINE_string(data, "data/dev", "folder for the state of its hosts");

namespace knapweedroad {
namespace {

constexpr uint16_t kSearcherPorts = 200;
constexpr uint16_t kSearcherControlPorts = 400;

std::vector<Endpoint> TargetAddresses(
    const std::vector<HostSettings>& settings) {
  std::vector<Endpoint> addresses;
  addresses.reserve(settings.size());
  for (const HostSettings& each : settings) {
    addresses.push_back(each.target_address);
  }
  return addresses;
}

int RunDev(std::span<const std::string> words) {
  if (!words.empty()) {
    return UsageError(kDevCommand, "it takes no words");
  }
  const auto first_port = static_cast<uint16_t>(FLAGS_first_port);
  const DeploymentConfig deployment = DevDeployment();
  const std::vector<HostSettings> settings = DevHosts(first_port, FLAGS_data);
  Runtime runtime;
  std::vector<std::unique_ptr<Host>> hosts;
  for (const HostSettings& each : settings) {
    hosts.push_back(std::make_unique<Host>(
        runtime,
        HostOptions{.settings = each,
                    .initial_configuration = PrintDeployment(deployment),
                    .drain_time = std::chrono::milliseconds(100)}));
    if (const auto started = hosts.back()->Start(); !started) {
      Complain(started.error());
      return kExitFailed;
    }
    std::cout << "host " << each.name << " in zone " << each.zone
              << ": callers " << each.caller_address.ip << ":"
              << each.caller_address.port << ", operators "
              << each.operator_address.ip << ":" << each.operator_address.port
              << "\n";
  }
  std::vector<std::unique_ptr<StandInSearcher>> searchers;
  for (StandInOptions& options : PlanFleet(
           deployment,
           {.first_port = static_cast<uint16_t>(first_port + kSearcherPorts),
           .first_control_port =
                static_cast<uint16_t>(first_port + kSearcherControlPorts),
           .host_addresses = TargetAddresses(settings),
           .starts_cold = false})) {
    searchers.push_back(std::make_unique<StandInSearcher>(runtime, options));
    if (const auto started = searchers.back()->Start(); !started) {
      Complain("searcher: " + started.error().detail);
      return kExitFailed;
    }
  }
  std::cout << searchers.size() << " stand-in searchers; ask\n  knapweedroad "
            << "query --tenant=press --callers=127.0.0.1:"
            << settings.front().caller_address.port << " archive flood"
            << std::endl;
  runtime.OnShutdownSignal([&] {
    for (const auto& host : hosts) {
      host->Shutdown();
    }
    runtime.Stop();
  });
  runtime.Run();
  EndServer(kExitDone);
}

}  // namespace

const Command kDevCommand{
    .name = "dev",
    .summary = "runs a small deployment with stand-in searchers in one process",
    .usage =
        "dev\n\nThree hosts in two zones, one search front (archive) and "
        "one record front (notices).\n",
    .flags_file = "dev_command",
    .run = RunDev};

}  // namespace knapweedroad
