// The retries and hedges that this host may send to a service: its share of a
// bound that all hosts keep to together.
//
//   RetryBudget budget({.ratio = 0.2, .slack = 58, .window = 10s}, started_at,
//                      rounding_threshold);
//   budget.OnRequest(now);
//   if (budget.SpendRetry(host_count, now)) SendAgain();

#ifndef KNAPWEEDROAD_ROUTING_RETRY_BUDGET_H_
#define KNAPWEEDROAD_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// The bound on extra attempts, those beyond the first of each request, that all
// hosts together send to a service: in any window at most `ratio` times the
// requests, plus `slack`.
struct RetryBudgetLimits {
  double ratio = 0.2;
  double slack = 0;
  Duration window = std::chrono::seconds(10);
};

// Prevents a retry storm, in which failing targets are sent more attempts
// instead of fewer and overload those that still work. Counts over a sliding
// window of slices. The oldest slice counts in full, so that no window of the
// bound's length exceeds the bound.
//
// With many hosts the share of each may be less than one attempt. Shares are
// rounded up on some hosts and down on others, so that the hosts together use
// what the bound allows in every window.
class RetryBudget {
 public:
  // `started_at`: when this host began to send. `rounding_threshold`: from 0 to
  // 1, evenly distributed over hosts and services.
  RetryBudget(RetryBudgetLimits limits,
              TimePoint started_at,
              double rounding_threshold);

  // Counts a request, which adds to the budget.
  void OnRequest(TimePoint now);

  // Returns whether one more attempt may be sent in place of a failed one. If
  // so, counts it. `host_count` hosts share the slack.
  bool SpendRetry(size_t host_count, TimePoint now);

  // Returns whether one more attempt may be sent beside one that is late. If
  // so, counts it.
  //
  // Hedges leave a part of the budget to retries: as much as retries used in
  // the last window, and from a tenth to half of the budget. Without a retry a
  // failed attempt is lost, while an attempt that is late may still be answered
  // without a hedge.
  bool SpendHedge(size_t host_count, TimePoint now);

 private:
  // The slices of a window, and one more because the window begins within the
  // oldest slice.
  static constexpr size_t kSliceCount = 11;

  struct Slice {
    uint32_t requests = 0;
    uint32_t retries = 0;
    uint32_t hedges = 0;
  };

  Duration SliceLength() const;
  void Advance(TimePoint now);
  // This host's share of the bound in the current window, in attempts.
  double Allowance(size_t host_count) const;
  // Whether one more extra attempt is within the rounded `allowance`.
  bool FitsOneMore(double allowance, size_t host_count) const;
  uint32_t extra_attempts() const { return this->retries + this->hedges; }

  RetryBudgetLimits limits;
  // The fraction of an allowance from which on it is rounded up. It is fixed: a
  // host that drew a new one for each attempt would exceed its share.
  double rounding_threshold = 1;
  // The number of the first slice after the first window since the start.
  int64_t steady_from_slice = 0;
  std::array<Slice, kSliceCount> slices{};
  // The number of the newest slice, counted from the clock's epoch.
  int64_t newest_slice = 0;
  // Sums over `slices`.
  uint32_t requests = 0;
  uint32_t retries = 0;
  uint32_t hedges = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RETRY_BUDGET_H_
