// One thread's fibers and sockets: an Asio context as Boost.Fiber's scheduler.
//
//   Runtime runtime;
//   runtime.Spawn([&] { Serve(runtime); });
//   runtime.Run();  // until Stop()
//
// Everything built on a runtime belongs to its thread and needs no locks.

#ifndef KNAPWEEDROAD_NET_RUNTIME_H_
#define KNAPWEEDROAD_NET_RUNTIME_H_

#include <functional>
#include <memory>

#include "knapweedroad/base/time.h"

namespace boost::asio {
class io_context;
}

namespace knapweedroad {

class ReceiveBudget;

class Runtime {
 public:
  // Installs the fiber scheduler on this thread: one runtime a thread, ever.
  Runtime();
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  // Runs `task` in a new fiber of this thread. Callable on this thread only.
  void Spawn(std::function<void()> task);

  // Runs `task` in a new fiber of this thread; callable from any thread and
  // from a signal-handling thread.
  void Post(std::function<void()> task);

  // Keeps what handlers that have not run yet refer to, until the process ends.
  void KeepUntilEnd(std::shared_ptr<void> kept);

  // Blocks the thread (the calling fiber only, seen from the others) until
  // Stop().
  void Run();

  // Makes Run() return. Callable from any fiber of this thread.
  void Stop();

  // Blocks the calling fiber only.
  static void SleepFor(Duration duration);
  static void SleepUntil(TimePoint time);

  // The clock that all of the tier's I/O uses.
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  // Calls `handler` in a fiber on SIGTERM or SIGINT.
  void OnShutdownSignal(std::function<void()> handler);

  // Calls `handler` in a fiber on each SIGHUP.
  void OnReloadSignal(std::function<void()> handler);

  boost::asio::io_context& io();

  // Of messages between hosts that haven't come whole, on all connections.
  ReceiveBudget& frame_budget();
  // Of messages that other hosts haven't read, on all connections.
  ReceiveBudget& unread_budget();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_RUNTIME_H_
