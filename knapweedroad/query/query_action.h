// The actions that a query returns for its host to perform, in order.

#ifndef KNAPWEEDROAD_QUERY_QUERY_ACTION_H_
#define KNAPWEEDROAD_QUERY_QUERY_ACTION_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/query/query_answer.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

// Why an attempt is sent: as the first for its service, again after a failure,
// or in parallel with one that is slow.
enum class AttemptPurpose : uint8_t { kFirst, kRetry, kHedge };

// Sends one sub-request to `target` through the host that holds its lease. Once
// the attempt has ended, at `deadline` at the latest, the performing host calls
// OnReply() or OnFailure() exactly once.
struct SendAttempt {
  AttemptId attempt;
  ServiceId service;
  TargetId target;
  // The snapshot to search; unset for record reads and lookups.
  SnapshotId snapshot;
  TimePoint deadline;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
};

// Cancels an attempt that is in flight. A reply or failure that still arrives
// for it is ignored.
struct CancelAttempt {
  AttemptId attempt;
  TargetId target;
};

// Sends the caller this answer. The last action of a query.
struct FinishAnswer {
  QueryAnswer answer;
};

// Sends the caller this error. The last action of a query.
struct FinishRefusal {
  QueryRefusal refusal;
};

using QueryAction =
    std::variant<SendAttempt, CancelAttempt, FinishAnswer, FinishRefusal>;
using QueryActions = std::vector<QueryAction>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_ACTION_H_
