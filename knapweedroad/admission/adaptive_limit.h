// A concurrency limit for one target that a host derives only from its own
// answers. It is the comparison baseline for leases (`AdmissionMode`).
//
//   AdaptiveLimit limit({.max_limit = 2});
//   limit.OnSuccess(latency, now);
//   limit.OnOverload(now);
//   if (in_flight < limit.limit()) ...
//
// Uses additive increase and multiplicative decrease. The limit rises by one
// for each full round of answers close to the lowest latency. It falls by
// `Options::decrease_factor` on a shed request, a broken connection, or a
// latency that indicates queuing at the target. It never falls below one
// request, so n hosts can have at least n requests running on a target.

#ifndef KNAPWEEDROAD_ADMISSION_ADAPTIVE_LIMIT_H_
#define KNAPWEEDROAD_ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class AdaptiveLimit {
 public:
  struct Options {
    // The upper bound of the limit: the number of slots of the target.
    uint32_t max_limit = 1;
    // The limit is multiplied by this factor on overload.
    double decrease_factor = 0.67;
    // A latency above this multiple of the lowest one counts as overload.
    double overload_latency_factor = 2.0;
  };

  explicit AdaptiveLimit(const Options& options) : options(options) {}

  // Records a successful answer. Raises the limit, or calls OnOverload() if the
  // latency indicates queuing.
  void OnSuccess(Duration latency, TimePoint now);
  // Lowers the limit. Further calls within the lowest latency have no effect.
  void OnOverload(TimePoint now);

  // Requests that may run at once; at least one.
  uint32_t limit() const { return static_cast<uint32_t>(this->current_limit); }

 private:
  Options options;
  double current_limit = 1.0;
  // Zero until the first successful answer.
  Duration min_latency{};
  // Earlier overload signals are ignored, so that a burst of failures lowers
  // the limit only once.
  TimePoint next_decrease{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADAPTIVE_LIMIT_H_
