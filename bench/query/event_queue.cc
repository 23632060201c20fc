#include "bench/query/event_queue.h"

#include <algorithm>

namespace knapweedroad::bench {

void EventQueue::Post(Duration delay, std::function<void()> event) {
  this->PostAt(this->time + delay, std::move(event));
}

void EventQueue::PostAt(TimePoint when, std::function<void()> event) {
  const std::pair at{std::max(when, this->time), ++this->posted};
  this->events.emplace(at, std::move(event));
}

void EventQueue::Run() {
  while (!this->events.empty()) {
    auto next = this->events.extract(this->events.begin());
    this->time = next.key().first;
    next.mapped()();
  }
}

}  // namespace knapweedroad::bench
