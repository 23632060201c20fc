// One entry host of the system: takes callers' questions, holds leases on
// targets of its zone, and takes part in control.
//
//   Host host(runtime, {.settings = settings});
//   if (auto started = host.Start(); !started) Fail(started.error());
//   runtime.OnShutdownSignal([&] { host.Shutdown(); runtime.Stop(); });
//   runtime.Run();

#ifndef KNAPWEEDROAD_HOST_HOST_H_
#define KNAPWEEDROAD_HOST_HOST_H_

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

class Runtime;

struct HostOptions {
  HostSettings settings;
  // The configuration to serve with while none has been agreed; may be empty.
  std::string initial_configuration;
  // How long a host that stops still takes new requests, with `readyz` at 503:
  // about what the balancer needs to notice.
  Duration drain_time = std::chrono::seconds(2);
  // The longest that a stop waits for running requests after that.
  Duration stop_timeout = std::chrono::seconds(15);
};

// Its fibers use it until the process ends: it is never destroyed before.
class Host {
 public:
  Host(Runtime& runtime, HostOptions options);
  ~Host();

  // Binds every address and begins to serve; the error names what could not
  // be had and why.
  tl::expected<void, std::string> Start();

  // Graceful stop; blocks the calling fiber until the last request has its
  // answer.
  void Shutdown();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_HOST_H_
