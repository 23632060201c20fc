// Targets and a caller in a thread of their own, so that the processor time of
// the calling thread is that of an entry host alone.
//
//   StandInWorld world;
//   uint16_t port = world.StartTargets();
//   world.Ask({.port = caller_port, .questions = 200, .on_done = Stop});

#ifndef BENCH_ENTRY_STAND_IN_WORLD_H_
#define BENCH_ENTRY_STAND_IN_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace knapweedroad {

struct AskOptions {
  // Of the entry host on 127.0.0.1.
  uint16_t port = 0;
  // Asked one after another on one connection.
  size_t questions = 0;
  // Called in the stand-ins' thread.
  std::function<void()> on_done;
};

class StandInWorld {
 public:
  StandInWorld();
  ~StandInWorld();

  // The port at which all targets listen: they answer any request at once.
  uint16_t StartTargets();
  void Ask(AskOptions options);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // BENCH_ENTRY_STAND_IN_WORLD_H_
