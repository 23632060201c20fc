// Virtual time: events in the order of their moments.
//
//   EventQueue events;
//   events.Post(10ms, [&] { ... });
//   events.Run();

#ifndef BENCH_QUERY_EVENT_QUEUE_H_
#define BENCH_QUERY_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "knapweedroad/base/time.h"

namespace knapweedroad::bench {

class EventQueue {
 public:
  TimePoint now() const { return this->time; }

  // Runs `event` that long from now; of the same moment, the first posted
  // first.
  void Post(Duration delay, std::function<void()> event);
  void PostAt(TimePoint when, std::function<void()> event);

  // Until nothing is left.
  void Run();

 private:
  TimePoint time{};
  uint64_t posted = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events;
};

}  // namespace knapweedroad::bench

#endif  // BENCH_QUERY_EVENT_QUEUE_H_
