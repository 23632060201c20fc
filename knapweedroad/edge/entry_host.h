// An entry host that routes callers' requests to targets by numbered
// configurations, and learns of hosts and targets from control hosts.
//
//   EntryHost host(runtime, {.settings = settings, .header_names =
//   header_names, ...}); auto started = host.Start();
//   ...
//   host.Shutdown();   // blocks until callers are served, or time is up

#ifndef KNAPWEEDROAD_EDGE_ENTRY_HOST_H_
#define KNAPWEEDROAD_EDGE_ENTRY_HOST_H_

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/config/role_settings.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/routing_reader.h"

namespace knapweedroad {

class Runtime;

struct EntryHostOptions {
  RoleSettings settings;
  HeaderNames header_names;
  RoutingReader read_routing;
  // Called every 100 ms, for the log.
  std::function<void()> on_tick;
};

class EntryHost {
 public:
  EntryHost(Runtime& runtime, EntryHostOptions options);
  ~EntryHost();

  // Listens and begins to follow control hosts; the error says why it can't.
  tl::expected<void, std::string> Start();

  // Takes the seeds of new settings; the rest stays until the next start.
  void Reload(const RoleSettings& settings);

  // Reports not ready, serves on, and returns when every connection has ended
  // or `stop_grace` is nearly over. Blocks the calling fiber.
  void Shutdown();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ENTRY_HOST_H_
