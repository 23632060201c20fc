#include "knapweedroad/testing/baseline_command.h"

#include <iostream>

#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/baseline_host.h"
#include "knapweedroad/testing/deployment_file.h"

namespace knapweedroad {
namespace {

constexpr int kExitUsage = 2;

}  // namespace

int RunBaselineCommand(const BaselineCommandOptions& options) {
  const auto deployment = ReadDeploymentFile(options.deployment_file);
  if (!deployment) {
    return kExitUsage;
  }
  Runtime runtime;
  BaselineHost host(runtime, {.deployment = *deployment,
                              .caller_address = options.caller_address,
                              .target_address = options.target_address});
  const auto ports = host.Start();
  if (!ports) {
    std::cerr << ports.error().detail << "\n";
    return kExitUsage;
  }
  std::cout << "callers=" << options.caller_address.ip << ":" << ports->caller
            << " targets=" << options.target_address.ip << ":" << ports->target
            << std::endl;
  runtime.OnShutdownSignal([&runtime] { runtime.Stop(); });
  runtime.Run();
  return 0;
}

}  // namespace knapweedroad
