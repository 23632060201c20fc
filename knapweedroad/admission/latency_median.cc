#include "knapweedroad/admission/latency_median.h"

#include <algorithm>

namespace knapweedroad {
namespace {

// A step is the estimate divided by the sample count, up to this divisor. The
// first steps are therefore large, and the estimate recovers within a few dozen
// samples if the first one was an outlier.
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
