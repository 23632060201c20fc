// A wake-up that one fiber waits for, again and again, with a time limit.
//
//   TimedEvent changed(runtime);
//   while (!done) changed.WaitUntil(next_wake);

#ifndef KNAPWEEDROAD_NET_TIMED_EVENT_H_
#define KNAPWEEDROAD_NET_TIMED_EVENT_H_

#include <memory>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class Runtime;

// One waiter at a time, one thread.
class TimedEvent {
 public:
  explicit TimedEvent(Runtime& runtime);
  ~TimedEvent();

  // Blocks the calling fiber until Set() or `time`; true for Set(). A Set()
  // that came before is used up by the next wait.
  bool WaitUntil(TimePoint time);

  void Set();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_TIMED_EVENT_H_
