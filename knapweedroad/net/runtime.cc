#include "knapweedroad/net/runtime.h"

#include <csignal>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "knapweedroad/net/asio_scheduler.h"
#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/fiber_stacks.h"
#include "knapweedroad/net/receive_budget.h"

namespace knapweedroad {
namespace {

// Two of the longest messages, and many usual ones.
constexpr size_t kMostFrameBytes = 32 << 20;
// The list of all targets of a large deployment to hundreds of hosts at once is
// below the second bound, each time.
constexpr size_t kMostUnreadBytes = 48 << 20;
constexpr size_t kAlwaysUnreadBytes = 1 << 20;
// How long a runtime that ends waits for its fibers.
constexpr Duration kFibersGrace = std::chrono::seconds(5);
constexpr Duration kFibersPoll = std::chrono::milliseconds(1);

}  // namespace

struct Runtime::State {
  // Outlive the connections that handlers of `io` still hold.
  ReceiveBudget frames{kMostFrameBytes};
  ReceiveBudget unread{kMostUnreadBytes, kAlwaysUnreadBytes};
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work = boost::asio::make_work_guard(this->io);
  boost::asio::signal_set signals{this->io};
  boost::asio::signal_set reload{this->io};
  FiberEvent stopped;
  size_t fibers = 0;
  std::vector<std::shared_ptr<void>> kept;
};

Runtime::Runtime() : state(std::make_unique<State>()) {
  // A peer that has gone away shows as a write error, not as a signal.
  std::signal(SIGPIPE, SIG_IGN);
  boost::fibers::use_scheduling_algorithm<internal::AsioScheduler>(
      this->state->io);
}

Runtime::~Runtime() {
  // A fiber that still runs when the thread's scheduler is taken down wakes in
  // a half-destroyed thread and never ends: the process hangs at its exit. So
  // the fibers end first.
  const TimePoint give_up = Runtime::Now() + kFibersGrace;
  while (this->state->fibers > 0 && Runtime::Now() < give_up) {
    Runtime::SleepFor(kFibersPoll);
  }
  // The thread's scheduler outlives this object and keeps a reference to the
  // context, so the state is left to the end of the process.
  this->state->work.reset();
  static_cast<void>(this->state.release());
}

void Runtime::Spawn(std::function<void()> task) {
  State* const running = this->state.get();
  ++running->fibers;
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       FiberStacks(),
                       [running, task = std::move(task)] {
                         task();
                         --running->fibers;
                       })
      .detach();
}

void Runtime::Post(std::function<void()> task) {
  boost::asio::post(this->state->io, [this, task = std::move(task)]() mutable {
    this->Spawn(std::move(task));
  });
}

void Runtime::KeepUntilEnd(std::shared_ptr<void> kept) {
  this->state->kept.push_back(std::move(kept));
}

void Runtime::Run() {
  this->state->stopped.Wait();
}

void Runtime::Stop() {
  this->state->stopped.Set();
}

void Runtime::SleepFor(Duration duration) {
  boost::this_fiber::sleep_for(duration);
}

void Runtime::SleepUntil(TimePoint time) {
  boost::this_fiber::sleep_until(time);
}

void Runtime::OnShutdownSignal(std::function<void()> handler) {
  this->state->signals.add(SIGTERM);
  this->state->signals.add(SIGINT);
  this->state->signals.async_wait(
      [this, handler = std::move(handler)](boost::system::error_code error,
                                           int) mutable {
        if (!error) {
          this->Spawn(std::move(handler));
        }
      });
}

void Runtime::OnReloadSignal(std::function<void()> handler) {
  this->state->reload.add(SIGHUP);
  this->state->reload.async_wait([this, handler = std::move(handler)](
                                     boost::system::error_code error, int) {
    if (!error) {
      this->Spawn(handler);
      this->OnReloadSignal(handler);
    }
  });
}

boost::asio::io_context& Runtime::io() {
  return this->state->io;
}

ReceiveBudget& Runtime::frame_budget() {
  return this->state->frames;
}

ReceiveBudget& Runtime::unread_budget() {
  return this->state->unread;
}

}  // namespace knapweedroad
