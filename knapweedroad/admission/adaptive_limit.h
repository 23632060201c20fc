// A limit that one host finds by itself from the answers it gets: the baseline
// that the leases are measured against.
//
//   AdaptiveLimit limit({.max_limit = 2});
//   limit.OnSuccess(latency, now);
//   limit.OnOverload(now);
//   if (in_flight < limit.limit()) ...
//
// Additive increase, multiplicative decrease: up by one for each full
// round of answers near the lowest latency seen, down by a third for a
// shed or a broken connection, or where the latency tells of a queue. It never
// goes below one request, so that n hosts put at least n requests on a target.

#ifndef KNAPWEEDROAD_ADMISSION_ADAPTIVE_LIMIT_H_
#define KNAPWEEDROAD_ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class AdaptiveLimit {
 public:
  struct Options {
    // The target's slots: no host needs more.
    uint32_t max_limit = 1;
    double decrease_factor = 0.67;
    // Latency above this multiple of the lowest one tells of a queue.
    double overload_latency_factor = 2.0;
  };

  explicit AdaptiveLimit(const Options& options) : options(options) {}

  void OnSuccess(Duration latency, TimePoint now);
  void OnOverload(TimePoint now);

  // At least one.
  uint32_t limit() const { return static_cast<uint32_t>(this->current_limit); }

 private:
  Options options;
  double current_limit = 1.0;
  Duration min_latency{};
  // One burst of bad answers counts as one sign.
  TimePoint next_decrease{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADAPTIVE_LIMIT_H_
