// Recent latencies of one kind of request, as a quantile that forgets.
//
//   LatencyWindow window;
//   window.Add(12ms);
//   Duration hedge_after = window.Quantile(0.95).value_or(aim / 4);

#ifndef KNAPWEEDROAD_ROUTING_LATENCY_WINDOW_H_
#define KNAPWEEDROAD_ROUTING_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Counts in logarithmic buckets; all counts are halved each time they reach a
// bound, so about the last thousand values decide.
class LatencyWindow {
 public:
  void Add(Duration latency);

  // Within a tenth of the true value; nothing before the first 20 values.
  std::optional<Duration> Quantile(double quantile) const;

 private:
  // From 0.1 ms up, a tenth wider each: the last begins at about 50 s.
  static constexpr size_t kBucketCount = 138;

  std::array<uint16_t, kBucketCount> counts{};
  uint32_t total = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_LATENCY_WINDOW_H_
