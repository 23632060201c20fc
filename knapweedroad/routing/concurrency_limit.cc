#include "knapweedroad/routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {
namespace {

// Requests waiting at the target, over its slots: as many times its service
// time is lost in the queue.
constexpr double kMostQueueRounds = 0.7;
constexpr double kDecrease = 0.7;
// Added over as many answers as attempts are out.
constexpr double kIncrease = 0.3;

}  // namespace

void ConcurrencyLimit::OnLoad(const TargetLoad& load,
                              size_t slots,
                              size_t cap) {
  const auto most = static_cast<double>(std::max<size_t>(cap, 1));
  const double rounds = static_cast<double>(load.waiting) /
                        static_cast<double>(std::max<size_t>(slots, 1));
  const double held = this->limit > 0 ? this->limit : most;
  this->limit = rounds > kMostQueueRounds
                    ? std::max(1.0, held * kDecrease)
                    : std::min(most, held + kIncrease / held);
}

size_t ConcurrencyLimit::Allowed(size_t cap) const {
  if (this->limit <= 0) {
    return cap;
  }
  return std::min(cap, static_cast<size_t>(std::lround(this->limit)));
}

}  // namespace knapweedroad
