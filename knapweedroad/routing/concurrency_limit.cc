#include "knapweedroad/routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {
namespace {

// Waiting requests per slot of the target. A request spends this multiple of
// the target's service time in the queue.
constexpr double kMaxWaitingPerSlot = 0.7;
constexpr double kDecreaseFactor = 0.7;
// Added to the limit in total over as many answers as the limit allows attempts
// in flight.
constexpr double kIncreasePerWindow = 0.3;

}  // namespace

void ConcurrencyLimit::OnLoadReport(const TargetLoad& load,
                                    size_t slots,
                                    size_t cap) {
  const auto max_limit = static_cast<double>(std::max<size_t>(cap, 1));
  const double waiting_per_slot =
      static_cast<double>(load.waiting) /
      static_cast<double>(std::max<size_t>(slots, 1));
  const double current = this->limit > 0 ? this->limit : max_limit;
  this->limit =
      waiting_per_slot > kMaxWaitingPerSlot
          ? std::max(1.0, current * kDecreaseFactor)
          : std::min(max_limit, current + kIncreasePerWindow / current);
}

size_t ConcurrencyLimit::MaxInFlight(size_t cap) const {
  if (this->limit <= 0) {
    return cap;
  }
  return std::min(cap, static_cast<size_t>(std::lround(this->limit)));
}

}  // namespace knapweedroad
