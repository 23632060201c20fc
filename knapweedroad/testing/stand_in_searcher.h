// A stand-in for a real searcher: speaks the target's side of the protocol,
// announces itself to the hosts, misbehaves on request, and counts its load.
//
//   StandInSearcher searcher(runtime, {.core = {.target = ..., .slots = 2},
//                                      .endpoint = {"127.0.0.1", 0},
//                                      .host_addresses = {{"127.0.0.1",
//                                      7002}}});
//   auto ports = searcher.Start();
//
// Its control address, apart from the connection cap and the slots, takes
//
//   POST /v1/stand-in/fault      see StandInFault
//   GET  /v1/stand-in/counts     see TargetCounts
//   POST /v1/stand-in/executed   {"request_ids": [...], "keys": [...]}: how
//                                often each was executed here, where it was

#ifndef KNAPWEEDROAD_TESTING_STAND_IN_SEARCHER_H_
#define KNAPWEEDROAD_TESTING_STAND_IN_SEARCHER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/testing/searcher_core.h"

namespace knapweedroad {

class Runtime;
struct StandInFault;

struct StandInOptions {
  SearcherCoreOptions core;
  // Where it takes work; port 0 takes any free one.
  Endpoint endpoint;
  // Where it takes faults; port 0 takes any free one.
  Endpoint control_endpoint{.ip = "127.0.0.1"};
  // The hosts' target addresses.
  std::vector<Endpoint> host_addresses;
  Duration report_interval = std::chrono::milliseconds(250);
  // What a new connection costs before its first request is read.
  Duration connect_cost{};
};

// Where it listens.
struct StandInPorts {
  uint16_t work = 0;
  uint16_t control = 0;
};

class StandInSearcher {
 public:
  StandInSearcher(Runtime& runtime, StandInOptions options);
  // Closes all connections at once.
  ~StandInSearcher();

  // Listens and begins to announce itself.
  tl::expected<StandInPorts, NetError> Start();

  // Says that it leaves and goes on serving; blocks the calling fiber until
  // nothing has run for a second, or until `deadline`.
  void Stop(TimePoint deadline);

  // As if it had come over the control address.
  void Apply(const StandInFault& fault);

  const SearcherCore& core() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_STAND_IN_SEARCHER_H_
