// What a QueryRun wants done.

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

enum class AttemptPurpose : uint8_t { kFirst, kRetry, kHedge };

// Send a sub-request through the target's lease holder, then call OnReply()
// or OnFailure() once, at `deadline` at the latest.
struct SendAttempt {
  AttemptId attempt;
  ServiceId service;
  TargetId target;
  SnapshotId snapshot;
  TimePoint deadline;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
};

// Nobody waits for the attempt any more. What still comes of it is ignored.
struct CancelAttempt {
  AttemptId attempt;
  TargetId target;
};

struct FinishAnswer {
  QueryAnswer answer;
};

struct FinishRefusal {
  QueryRefusal refusal;
};

using QueryAction =
    std::variant<SendAttempt, CancelAttempt, FinishAnswer, FinishRefusal>;
using QueryActions = std::vector<QueryAction>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_ACTION_H_
