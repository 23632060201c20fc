// A target's usual latency: a running median that a few stragglers don't move.
//
//   LatencyMedian baseline;
//   baseline.Add(12ms);
//   if (latency > 3 * baseline.median()) ...

#ifndef KNAPWEEDROAD_ADMISSION_LATENCY_MEDIAN_H_
#define KNAPWEEDROAD_ADMISSION_LATENCY_MEDIAN_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LatencyMedian {
 public:
  void Add(Duration latency);

  // Zero until the first latency.
  Duration median() const { return this->estimate; }

 private:
  Duration estimate{};
  uint32_t sample_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LATENCY_MEDIAN_H_
