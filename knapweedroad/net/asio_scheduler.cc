#include "knapweedroad/net/asio_scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>

namespace knapweedroad::internal {

void AsioScheduler::awakened(boost::fibers::context* fiber) noexcept {
  fiber->ready_link(this->ready);
}

boost::fibers::context* AsioScheduler::pick_next() noexcept {
  if (this->ready.empty()) {
    return nullptr;
  }
  boost::fibers::context* fiber = &this->ready.front();
  this->ready.pop_front();
  return fiber;
}

bool AsioScheduler::has_ready_fibers() const noexcept {
  return !this->ready.empty();
}

void AsioScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& until) noexcept {
  // One handler a call: those that are ready too follow without asking the
  // kernel again, and a fiber that this one wakes goes before them.
  if (until == std::chrono::steady_clock::time_point::max()) {
    this->io.run_one();
  } else {
    this->io.run_one_until(until);
  }
}

void AsioScheduler::notify() noexcept {
  boost::asio::post(this->io, [] {});
}

}  // namespace knapweedroad::internal
