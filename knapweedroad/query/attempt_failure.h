// Why one attempt brought no answer.

#ifndef KNAPWEEDROAD_QUERY_ATTEMPT_FAILURE_H_
#define KNAPWEEDROAD_QUERY_ATTEMPT_FAILURE_H_

#include <cstdint>
#include <optional>

#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

enum class FailureKind : uint8_t {
  kRefusedByHolder,  // the lease holder refused it: no slot before the deadline
  kShed,             // the target refused it: over its slots or its cold limit
  kNoSnapshot,       // the target doesn't hold the snapshot
  kTimeout,          // no answer by the attempt's deadline
  kConnection,       // the connection to the target or the holder failed
  kLeaving,          // the target takes no new work
  kInvalidReply,     // the answer can't be used
};

struct AttemptFailure {
  // `kNotRun` only with proof.
  RunOutcome outcome = RunOutcome::kUnknown;
  FailureKind kind = FailureKind::kConnection;
  // When the one that refused expects to have room, if it said so.
  std::optional<Duration> retry_after;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_ATTEMPT_FAILURE_H_
