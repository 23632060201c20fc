#include "knapweedroad/net/timed_event.h"

#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {

struct TimedEvent::State {
  explicit State(boost::asio::io_context& io) : timer(io) {}

  boost::asio::steady_timer timer;
  FiberEvent* waiting = nullptr;
  bool is_set = false;
};

TimedEvent::TimedEvent(Runtime& runtime)
    : state(std::make_shared<State>(runtime.io())) {}

TimedEvent::~TimedEvent() = default;

bool TimedEvent::WaitUntil(TimePoint time) {
  if (!this->state->is_set) {
    FiberEvent woken;
    this->state->waiting = &woken;
    if (time != TimePoint::max()) {
      this->state->timer.expires_at(time);
      this->state->timer.async_wait(
          [state = this->state, &woken](boost::system::error_code error) {
            if (!error && state->waiting == &woken) {
              woken.Set();
            }
          });
    }
    woken.Wait();
    this->state->waiting = nullptr;
    this->state->timer.cancel();
  }
  return std::exchange(this->state->is_set, false);
}

void TimedEvent::Set() {
  this->state->is_set = true;
  if (this->state->waiting != nullptr) {
    this->state->waiting->Set();
  }
}

}  // namespace knapweedroad
