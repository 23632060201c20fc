// A caller's request as far as it matters for the order in which requests get
// the free places of targets.

#ifndef KNAPWEEDROAD_OVERLOAD_WAITING_REQUEST_H_
#define KNAPWEEDROAD_OVERLOAD_WAITING_REQUEST_H_

#include <cstdint>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct WaitingRequest {
  // Unique on this host.
  uint64_t id = 0;
  // Zero is the most urgent.
  uint32_t priority = 0;
  // Empty if the request has no client account.
  AccountId account;
  // Nobody waits for the answer after this time.
  TimePoint deadline;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_OVERLOAD_WAITING_REQUEST_H_
