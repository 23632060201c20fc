#include "knapweedroad/admission/adaptive_limit.h"

#include <algorithm>

namespace knapweedroad {
namespace {

// The lowest latency drifts up by this part with each answer, so that a target
// that became slower for good isn't taken for an overloaded one for ever.
constexpr int kLowestDrift = 1000;

}  // namespace

void AdaptiveLimit::OnAnswer(Duration latency, TimePoint now) {
  if (this->lowest == Duration::zero()) {
    this->lowest = latency;
  }
  this->lowest = std::min(latency, this->lowest + this->lowest / kLowestDrift);
  const auto ratio =
      static_cast<double>(latency.count()) /
      static_cast<double>(std::max<int64_t>(this->lowest.count(), 1));
  if (ratio > this->options.queue_factor) {
    this->OnOverload(now);
    return;
  }
  this->current = std::min(this->current + 1.0 / this->current,
                           static_cast<double>(this->options.highest));
}

void AdaptiveLimit::OnOverload(TimePoint now) {
  if (now < this->next_decrease) {
    return;
  }
  this->next_decrease = now + this->lowest;
  this->current = std::max(this->current * this->options.decrease, 1.0);
}

}  // namespace knapweedroad
