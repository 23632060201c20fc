// The reason why one attempt at a target returned no usable reply.

#ifndef KNAPWEEDROAD_QUERY_TARGET_ATTEMPT_FAILURE_H_
#define KNAPWEEDROAD_QUERY_TARGET_ATTEMPT_FAILURE_H_

#include <cstdint>
#include <optional>

#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

enum class FailureKind : uint8_t {
  // The host that holds the target's lease has no free slot on the target
  // before the deadline.
  kRefusedByHolder,
  // The target rejected it: all of its slots, or the fewer slots that it has
  // while cold, are in use.
  kShed,
  // The target does not hold the requested snapshot.
  kNoSnapshot,
  // No reply arrived by the attempt's deadline.
  kTimeout,
  // The connection to the target or to the lease holder failed.
  kConnection,
  // The target closed the connection without an answer.
  kTargetLost,
  // The target is shutting down and accepts no new work.
  kLeaving,
  // The reply is malformed or comes from another snapshot.
  kInvalidReply,
};

struct TargetAttemptFailure {
  // `kNotRun` only if it is certain that the target did not run the request.
  RunOutcome outcome = RunOutcome::kUnknown;
  FailureKind kind = FailureKind::kConnection;
  // The delay after which the lease holder or target expects to have a free
  // slot, if it sent one.
  std::optional<Duration> retry_after;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_TARGET_ATTEMPT_FAILURE_H_
