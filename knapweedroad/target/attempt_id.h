// The identifier of one attempt: one request sent once to one target.

#ifndef KNAPWEEDROAD_TARGET_ATTEMPT_ID_H_
#define KNAPWEEDROAD_TARGET_ATTEMPT_ID_H_

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// Unique across all hosts and their restarts. It is never derived from a
// caller's request id, because two callers may send the same one. The target
// returns the id in its reply.
using AttemptId = Id<struct AttemptTag>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TARGET_ATTEMPT_ID_H_
