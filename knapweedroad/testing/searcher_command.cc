#include "knapweedroad/testing/searcher_command.h"

#include <iostream>
#include <memory>
#include <vector>

#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/deployment_file.h"

namespace knapweedroad {
namespace {

constexpr int kExitUsage = 2;

using Searchers = std::vector<std::unique_ptr<StandInSearcher>>;

bool StartAll(Runtime& runtime,
              const std::vector<StandInOptions>& fleet,
              Searchers& searchers) {
  for (const StandInOptions& options : fleet) {
    auto searcher = std::make_unique<StandInSearcher>(runtime, options);
    const auto ports = searcher->Start();
    if (!ports) {
      std::cerr << ports.error().detail << "\n";
      return false;
    }
    std::cout << "target=" << options.core.target
              << " zone=" << options.core.zone
              << " address=" << options.endpoint.ip << ":" << ports->work
              << " control=" << options.control_endpoint.ip << ":"
              << ports->control << std::endl;
    searchers.push_back(std::move(searcher));
  }
  return true;
}

void LeaveAll(Runtime& runtime, Searchers& searchers, Duration timeout) {
  size_t leaving = searchers.size();
  const TimePoint deadline = Runtime::Now() + timeout;
  for (const auto& searcher : searchers) {
    runtime.Spawn([&runtime, &searcher, &leaving, deadline] {
      searcher->Stop(deadline);
      if (--leaving == 0) {
        runtime.Stop();
      }
    });
  }
  Runtime::SleepUntil(deadline);
}

}  // namespace

int RunSearcherCommand(const SearcherCommandOptions& options) {
  const auto deployment = ReadDeploymentFile(options.deployment_file);
  if (!deployment) {
    return kExitUsage;
  }
  const auto fleet = PlanFleet(*deployment, options.fleet);
  if (fleet.empty()) {
    std::cerr << "no searcher of " << options.deployment_file
              << " is selected\n";
    return kExitUsage;
  }
  Runtime runtime;
  Searchers searchers;
  if (!StartAll(runtime, fleet, searchers)) {
    return kExitUsage;
  }
  runtime.OnShutdownSignal(
      [&] { LeaveAll(runtime, searchers, options.leave_timeout); });
  runtime.Run();
  return 0;
}

}  // namespace knapweedroad
