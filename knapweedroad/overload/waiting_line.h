// The requests of one host that wait for a target of one service, and the order
// in which they get the places that become free.
//
//   WaitingLine line({});
//   if (line.IsNext(request, now)) {
//     if (HasFreePlace()) line.OnStarted(request, now);
//     else line.Wait(request, now);
//   }
//
// Answers the load of request classes and client accounts that compete for
// targets at their limits of attempts.

#ifndef KNAPWEEDROAD_OVERLOAD_WAITING_LINE_H_
#define KNAPWEEDROAD_OVERLOAD_WAITING_LINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/overload/waiting_request.h"
#include "knapweedroad/routing/recent_requests.h"

namespace knapweedroad {

struct WaitingLineOptions {
  // A request that hasn't called Wait() again for this long has ended, or tries
  // so seldom that it doesn't hold up others.
  Duration waiter_timeout = std::chrono::milliseconds(10);
  // One place in this many goes to the priority that has got the fewest, so
  // that none is starved.
  size_t places_per_floor = 8;
  // The window in which the rate of places that become free is measured.
  Duration rate_window = std::chrono::seconds(1);
};

// More urgent requests come first. Among requests of one priority the client
// account comes first that has got the fewest places since requests began to
// wait (max-min fairness), and then the request that came first. Without
// waiting requests all are served as they come. Not thread-safe.
class WaitingLine {
 public:
  explicit WaitingLine(WaitingLineOptions options);

  // Returns whether the request may take a free place before all that wait. It
  // may be waiting itself.
  bool IsNext(const WaitingRequest& request, TimePoint now);

  // Records that the request found no free place, or had to let others go
  // first. To be called again at each further try.
  void Wait(const WaitingRequest& request, TimePoint now);

  // Records that the request got a place. It no longer waits.
  void OnStarted(const WaitingRequest& request, TimePoint now);

  // Records that the request has ended without a place.
  void Leave(uint64_t request_id);

  // Returns whether the request can't get a place before its deadline, by the
  // number of requests before it and the rate of places. False while the rate
  // isn't known.
  bool IsHopeless(const WaitingRequest& request, TimePoint now);

  // Returns whether a request waits that is at least as urgent.
  bool HasWaiterOf(uint32_t max_priority, TimePoint now);

  size_t size() const { return this->waiters.size(); }

 private:
  struct Waiter {
    WaitingRequest request;
    TimePoint since;
    TimePoint last_seen;
  };

  void RemoveEnded(TimePoint now);
  size_t PlacesOf(const AccountId& account) const;
  // Returns the priority, of those with waiting requests, that has got the
  // fewest places, the less urgent one of several.
  uint32_t LeastServedPriority() const;
  // Whether `first` gets a place before `second`.
  bool IsBefore(const Waiter& first, const Waiter& second) const;
  Waiter WaiterFor(const WaitingRequest& request, TimePoint now) const;

  WaitingLineOptions options;
  // In the order in which they came.
  std::vector<Waiter> waiters;
  // Places by account since requests began to wait.
  std::map<AccountId, size_t> places;
  std::map<uint32_t, size_t> places_of_priority;
  size_t place_count = 0;
  RecentRequests recent_places;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_OVERLOAD_WAITING_LINE_H_
