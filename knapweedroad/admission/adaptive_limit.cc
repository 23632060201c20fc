#include "knapweedroad/admission/adaptive_limit.h"

#include <algorithm>

namespace knapweedroad {
namespace {

// With each answer, `min_latency` drifts up by one part in this many, so that a
// target that became permanently slower isn't treated as overloaded forever.
constexpr int kMinLatencyDriftDivisor = 1000;

}  // namespace

void AdaptiveLimit::OnSuccess(Duration latency, TimePoint now) {
  if (this->min_latency == Duration::zero()) {
    this->min_latency = latency;
  }
  this->min_latency = std::min(
      latency, this->min_latency + this->min_latency / kMinLatencyDriftDivisor);
  const auto latency_ratio =
      static_cast<double>(latency.count()) /
      static_cast<double>(std::max<int64_t>(this->min_latency.count(), 1));
  if (latency_ratio > this->options.overload_latency_factor) {
    this->OnOverload(now);
    return;
  }
  this->current_limit =
      std::min(this->current_limit + 1.0 / this->current_limit,
               static_cast<double>(this->options.max_limit));
}

void AdaptiveLimit::OnOverload(TimePoint now) {
  if (now < this->next_decrease) {
    return;
  }
  this->next_decrease = now + this->min_latency;
  this->current_limit =
      std::max(this->current_limit * this->options.decrease_factor, 1.0);
}

}  // namespace knapweedroad
