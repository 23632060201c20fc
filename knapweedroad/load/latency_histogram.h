// Counts latencies in logarithmic bins and estimates high quantiles from them.
//
//   histogram.Add(latency);
//   double p99 = histogram.QuantileMs(0.99);

#ifndef KNAPWEEDROAD_LOAD_LATENCY_HISTOGRAM_H_
#define KNAPWEEDROAD_LOAD_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(Duration latency);

  uint64_t count() const { return this->total; }
  double max_ms() const { return this->largest_ms; }

  // Returns the upper edge of the bin that holds the quantile (0 to 1), but at
  // most the maximum. The result is at most 1.2% above the true value between
  // 0.01 ms and 100 s. Returns 0 if the histogram is empty.
  double QuantileMs(double quantile) const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins;
  uint64_t total = 0;
  double largest_ms = 0.0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_LATENCY_HISTOGRAM_H_
