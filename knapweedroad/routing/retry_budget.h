// How many attempts beyond the first of each request this host may send to a
// service: its part of a bound that all hosts share.
//
//   RetryBudget budget({.ratio = 0.2, .slack = 58, .window = 10s}, started,
//                      rounding);
//   budget.OnRequest(now);
//   if (budget.SpendRetry(hosts, now)) SendAgain();

#ifndef KNAPWEEDROAD_ROUTING_RETRY_BUDGET_H_
#define KNAPWEEDROAD_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct RetryBudgetLimits {
  // Extra attempts over requests, in any window.
  double ratio = 0.2;
  // Extra attempts in any window beside the ratio, of all hosts together.
  double slack = 0;
  Duration window = std::chrono::seconds(10);
};

// Guards against a retry storm: targets that fail are sent more instead of
// less, and what still worked goes down with them. Counted over a sliding
// window in slices, the oldest of which counts in full, so that no window of
// the bound's length sees more.
//
// With many hosts the part of each may be less than one attempt. Parts are
// rounded up on some hosts and down on others, so that together they use what
// the bound allows in every window.
class RetryBudget {
 public:
  // `started`: when this host began to send. `rounding`: from 0 to 1, evenly
  // spread over hosts and services.
  RetryBudget(RetryBudgetLimits limits,
              TimePoint started_at,
              double rounding_threshold);

  void OnRequest(TimePoint now);

  // True: one more attempt may be sent in place of a failed one, and is
  // counted. `hosts` share the slack.
  bool SpendRetry(size_t host_count, TimePoint now);

  // True: one more attempt may be sent beside one that is late. Leaves as much
  // as retries have used up lately, half of all at the most.
  //
  // A hedge's first attempt may still be answered, a failed one is lost without
  // a retry: hedges leave a part of the budget to retries.
  bool SpendHedge(size_t host_count, TimePoint now);

 private:
  // A window's slices, and one for the part of the oldest that is still in.
  static constexpr size_t kSliceCount = 11;

  struct Slice {
    uint32_t requests = 0;
    uint32_t retries = 0;
    uint32_t hedges = 0;
  };

  Duration SliceLength() const;
  void Advance(TimePoint now);
  double Allowance(size_t host_count) const;
  // Whether one more is within the host's `part`, rounded.
  bool FitsOneMore(double allowance, size_t host_count) const;
  uint32_t extra_attempts() const { return this->retries + this->hedges; }

  RetryBudgetLimits limits;
  // Fractions of a part from this on are rounded up; differs between hosts and
  // services. A host that drew it anew would send more than its part.
  double rounding_threshold = 1;
  // The first slice that is no longer in the first window after the start.
  int64_t steady_from_slice = 0;
  std::array<Slice, kSliceCount> slices{};
  int64_t newest_slice = 0;
  uint32_t requests = 0;
  uint32_t retries = 0;
  uint32_t hedges = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RETRY_BUDGET_H_
