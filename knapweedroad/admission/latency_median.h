// A running estimate of the median of a series of latencies. A few outliers
// barely change it.
//
//   LatencyMedian median_latency;
//   median_latency.Add(12ms);
//   if (latency > 3 * median_latency.median()) ...

#ifndef KNAPWEEDROAD_ADMISSION_LATENCY_MEDIAN_H_
#define KNAPWEEDROAD_ADMISSION_LATENCY_MEDIAN_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LatencyMedian {
 public:
  // Moves the estimate one step towards `latency`; the first call sets it.
  void Add(Duration latency);

  // The estimate; zero until the first Add().
  Duration median() const { return this->estimate; }

 private:
  Duration estimate{};
  uint32_t sample_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LATENCY_MEDIAN_H_
