// Boost.Fiber's scheduling algorithm over an Asio context.

#ifndef KNAPWEEDROAD_NET_ASIO_SCHEDULER_H_
#define KNAPWEEDROAD_NET_ASIO_SCHEDULER_H_

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

namespace knapweedroad::internal {

// Runs ready fibers in turn; when none is ready, runs the context's handlers.
//
// Handlers run in suspend_until() alone. Were they run in pick_next() too, a
// fiber that is just suspending would still hold its waiter's spinlock, and the
// handler that wakes it would spin on that lock for ever: the process hangs
// with two connections.
class AsioScheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit AsioScheduler(boost::asio::io_context& io) : io(io) {}

  void awakened(boost::fibers::context* fiber) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override;
  void notify() noexcept override;

 private:
  boost::asio::io_context& io;
  boost::fibers::scheduler::ready_queue_type ready;
};

}  // namespace knapweedroad::internal

#endif  // KNAPWEEDROAD_NET_ASIO_SCHEDULER_H_
