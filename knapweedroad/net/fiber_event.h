// Lets one fiber wait for a completion handler of the same thread.
//
//   FiberEvent done;
//   socket.async_write_some(buffer, [&](auto error, size_t) { done.Set(); });
//   done.Wait();

#ifndef KNAPWEEDROAD_NET_FIBER_EVENT_H_
#define KNAPWEEDROAD_NET_FIBER_EVENT_H_

#include <boost/fiber/context.hpp>

namespace knapweedroad {

// One waiter, one thread, no locks. Set() may come before Wait().
class FiberEvent {
 public:
  FiberEvent() = default;
  FiberEvent(const FiberEvent&) = delete;
  FiberEvent& operator=(const FiberEvent&) = delete;

  // Blocks the calling fiber until Set() has been called.
  void Wait() {
    if (this->is_set) {
      return;
    }
    this->waiter = boost::fibers::context::active();
    this->waiter->suspend();
  }

  // Wakes the waiter. A second call changes nothing.
  void Set() {
    if (this->is_set) {
      return;
    }
    this->is_set = true;
    if (this->waiter != nullptr) {
      boost::fibers::context::active()->schedule(this->waiter);
    }
  }

  bool set() const { return this->is_set; }

 private:
  boost::fibers::context* waiter = nullptr;
  bool is_set = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_FIBER_EVENT_H_
