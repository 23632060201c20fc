// Clients that change and read the configuration of real hosts at once, and
// note what they saw, for CheckLinearizable().
//
//   ConfigurationHistory clients(runtime, {.operators = endpoints,
//                                          .deployment = text});
//   auto history = clients.Run();
//   if (history) checked = CheckLinearizable(*history);
//
// Meanwhile anything may be done to the hosts: kills, freezes, cuts.

#ifndef KNAPWEEDROAD_TESTING_CONFIGURATION_HISTORY_H_
#define KNAPWEEDROAD_TESTING_CONFIGURATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/testing/linearizability.h"

namespace knapweedroad {

class Runtime;

struct ConfigurationHistoryOptions {
  // Operator addresses of hosts.
  std::vector<Endpoint> operators;
  // A whole deployment, JSON with comments. Each change writes it with another
  // `name`, by which a read tells whose version it saw.
  std::string deployment;
  size_t clients = 5;
  Duration duration = std::chrono::seconds(30);
  // How long a client waits for one answer before it sends the change again
  // through another host, up to `sends` times in all.
  Duration answer_timeout = std::chrono::seconds(3);
  int sends = 4;
  // Between two operations of one client, at most.
  Duration pause = std::chrono::milliseconds(50);
  uint32_t seed = 1;
};

class ConfigurationHistory {
 public:
  ConfigurationHistory(Runtime& runtime, ConfigurationHistoryOptions options);
  ~ConfigurationHistory();

  // Blocks the calling fiber until the time is over and every client is done.
  // Versions are counted from the one that was in force at the beginning. The
  // error says why there could be no beginning.
  tl::expected<std::vector<HistoryOperation>, std::string> Run();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_CONFIGURATION_HISTORY_H_
