// Limits how many attempts one entry host has in flight to one target. The
// limit follows additive increase, multiplicative decrease (AIMD), driven by
// the queue length that the target reports.
//
//   ConcurrencyLimit limit;
//   limit.OnLoadReport(load, slots, cap);
//   if (in_flight < limit.MaxInFlight(cap)) Send();

#ifndef KNAPWEEDROAD_ROUTING_CONCURRENCY_LIMIT_H_
#define KNAPWEEDROAD_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstddef>

#include "knapweedroad/routing/target_load.h"

namespace knapweedroad {

// Keeps the queue at a target short. Targets serve requests in order of
// arrival, so a long queue delays every answer. With a short queue, requests
// that are sent are answered in time. The others wait on the entry host, where
// dropping them costs the target nothing.
class ConcurrencyLimit {
 public:
  // Records the load that the target reported with an answer or a refusal.
  // `slots` is the number of requests that the target runs at once. `cap` is
  // the upper bound of the limit, in attempts.
  void OnLoadReport(const TargetLoad& load, size_t slots, size_t cap);

  // Returns the number of attempts that may be in flight at once: at least one
  // and at most `cap`, which is at least one itself. Returns `cap` until the
  // target has reported a load.
  size_t MaxInFlight(size_t cap) const;

 private:
  // Attempts in flight; zero until the first load report.
  double limit = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_CONCURRENCY_LIMIT_H_
