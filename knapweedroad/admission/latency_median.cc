#include "knapweedroad/admission/latency_median.h"

#include <algorithm>

namespace knapweedroad {
namespace {

// The first steps are large, so that the estimate settles within a few dozen
// samples of a bad first one.
constexpr uint32_t kMaxStepDivisor = 32;

}  // namespace

void LatencyMedian::Add(Duration latency) {
  ++this->sample_count;
  if (this->sample_count == 1) {
    this->estimate = latency;
    return;
  }
  const uint32_t divisor = std::min(this->sample_count, kMaxStepDivisor);
  const Duration step =
      std::max<Duration>(this->estimate / divisor, Duration(1));
  if (latency > this->estimate) {
    this->estimate = std::min(this->estimate + step, latency);
  } else {
    this->estimate = std::max(this->estimate - step, latency);
  }
}

}  // namespace knapweedroad
