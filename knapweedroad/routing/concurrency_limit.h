// How many attempts this host may have out on one target at once: an additive
// increase, multiplicative decrease bound by the queue that the target reports.
//
//   ConcurrencyLimit limit;
//   limit.OnLoadReport(load, slots, cap);
//   if (in_flight < limit.MaxInFlight(cap)) Send();

#ifndef KNAPWEEDROAD_ROUTING_CONCURRENCY_LIMIT_H_
#define KNAPWEEDROAD_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstddef>

#include "knapweedroad/routing/target_load.h"

namespace knapweedroad {

// Keeps the queue at a target short. Targets serve in order of arrival, so a
// long queue makes every answer late; with a short one what is sent is in time,
// and the rest waits at its host, where giving it up costs the target nothing.
class ConcurrencyLimit {
 public:
  // What the target reported with an answer or a refusal. `cap` bounds the
  // limit from above.
  void OnLoadReport(const TargetLoad& load, size_t slots, size_t cap);

  // At least one; `cap` until the target has reported a load.
  size_t MaxInFlight(size_t cap) const;

 private:
  // Zero: no report yet.
  double limit = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_CONCURRENCY_LIMIT_H_
