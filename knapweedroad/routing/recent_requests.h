// Remembers when the last requests came, to tell whether a host sees enough of
// them to keep its connections in use.
//
//   RecentRequests recent;
//   recent.Add(now);
//   if (recent.CountSince(now - window) >= 2) ...

#ifndef KNAPWEEDROAD_ROUTING_RECENT_REQUESTS_H_
#define KNAPWEEDROAD_ROUTING_RECENT_REQUESTS_H_

#include <algorithm>
#include <cstddef>
#include <deque>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class RecentRequests {
 public:
  // The largest count that CountSince() returns.
  static constexpr size_t kMaxCount = 64;

  void Add(TimePoint now) {
    this->times.push_back(now);
    if (this->times.size() > kMaxCount) {
      this->times.pop_front();
    }
  }

  size_t CountSince(TimePoint since) const {
    return static_cast<size_t>(this->times.end() -
                               std::ranges::lower_bound(this->times, since));
  }

  // Returns when the earliest of the requests came that CountSince() can count.
  // There must have been a request.
  TimePoint earliest() const { return this->times.front(); }

 private:
  // In order of time.
  std::deque<TimePoint> times;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RECENT_REQUESTS_H_
