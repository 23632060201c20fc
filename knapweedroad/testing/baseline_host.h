// The plainest host that can answer: a random replica of each service, no
// limits, no hedging, wait for all until the deadline. What the system's own
// hosts are measured against, and a host to try the bench on.
//
//   BaselineHost host(runtime, {.deployment = deployment, ...});
//   auto started = host.Start();
//
// It speaks the callers' and the targets' side of docs/PROTOCOLS.md as far as
// the load command needs them.

#ifndef KNAPWEEDROAD_TESTING_BASELINE_HOST_H_
#define KNAPWEEDROAD_TESTING_BASELINE_HOST_H_

#include <cstdint>
#include <memory>

#include <tl/expected.hpp>

#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"

namespace knapweedroad {

class Runtime;

struct BaselineHostOptions {
  DeploymentConfig deployment;
  Endpoint caller_address;
  Endpoint target_address;
  uint64_t seed = 1;
};

// Where it listens.
struct BaselineHostPorts {
  uint16_t caller = 0;
  uint16_t target = 0;
};

class BaselineHost {
 public:
  BaselineHost(Runtime& runtime, BaselineHostOptions options);
  ~BaselineHost();

  tl::expected<BaselineHostPorts, NetError> Start();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_BASELINE_HOST_H_
