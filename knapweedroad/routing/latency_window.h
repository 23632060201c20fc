// Estimates quantiles of the recent latencies of one kind of request.
//
//   LatencyWindow window;
//   window.Add(12ms);
//   Duration hedge_after = window.Quantile(0.95).value_or(default_delay);

#ifndef KNAPWEEDROAD_ROUTING_LATENCY_WINDOW_H_
#define KNAPWEEDROAD_ROUTING_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// A histogram with logarithmic buckets. All counts are halved each time their
// total reaches 1000, so the estimate reflects about the last thousand values.
class LatencyWindow {
 public:
  void Add(Duration latency);

  // Returns the upper bound of the bucket that holds the given quantile, from 0
  // to 1: at most a tenth above the true value for latencies from 0.1 ms to
  // 50 s. Returns nothing before the first 20 values.
  std::optional<Duration> Quantile(double quantile) const;

 private:
  // Bucket bounds grow by a tenth each, from 0.1 ms. The last bucket begins at
  // about 50 s.
  static constexpr size_t kBucketCount = 138;

  std::array<uint16_t, kBucketCount> counts{};
  uint32_t total = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_LATENCY_WINDOW_H_
