// How many attempts beyond the first of each request this host may send to a
// service: its part of a bound that all hosts share.
//
//   ExtraBudget budget({.ratio = 0.2, .slack = 58, .window = 10s});
//   budget.OnRequest(now);
//   if (budget.Spend(now)) SendAgain();

#ifndef KNAPWEEDROAD_ROUTING_EXTRA_BUDGET_H_
#define KNAPWEEDROAD_ROUTING_EXTRA_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct ExtraBudgetLimits {
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
class ExtraBudget {
 public:
  explicit ExtraBudget(ExtraBudgetLimits limits) : limits(limits) {}

  void OnRequest(TimePoint now);

  // True: one more attempt may be sent, and is counted. `hosts` share the
  // slack.
  bool Spend(size_t hosts, TimePoint now);

  // Whether Spend() would allow it with this share of the whole allowance left
  // over.
  bool CanSpend(size_t hosts, double reserved_share, TimePoint now);

 private:
  // A window's slices, and one for the part of the oldest that is still in.
  static constexpr size_t kSlices = 11;

  struct Slice {
    uint32_t requests = 0;
    uint32_t extra = 0;
  };

  void Advance(TimePoint now);
  double Allowance(size_t hosts) const;

  ExtraBudgetLimits limits;
  std::array<Slice, kSlices> slices{};
  int64_t newest = 0;
  uint32_t requests = 0;
  uint32_t extra = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_EXTRA_BUDGET_H_
