// The name of one attempt: a request sent to one target once.

#ifndef KNAPWEEDROAD_TARGET_ATTEMPT_ID_H_
#define KNAPWEEDROAD_TARGET_ATTEMPT_ID_H_

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// Unique over all hosts and their restarts, so it is never made from what a
// caller sent: two callers may use the same request id. A target echoes it.
using AttemptId = Id<struct AttemptTag>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TARGET_ATTEMPT_ID_H_
