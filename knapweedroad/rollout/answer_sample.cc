#include "knapweedroad/rollout/answer_sample.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {

uint8_t EncodeLatencySample(Duration latency) {
  const double us = std::chrono::duration<double, std::micro>(latency).count();
  const double step = kSampleStepsPerDoubling * std::log2(std::max(1.0, us));
  return static_cast<uint8_t>(
      std::min<double>(std::round(step), kMaxLatencySample));
}

}  // namespace knapweedroad
