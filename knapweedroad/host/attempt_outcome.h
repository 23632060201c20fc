// What an attempt's reply means to the query core.

#ifndef KNAPWEEDROAD_HOST_ATTEMPT_OUTCOME_H_
#define KNAPWEEDROAD_HOST_ATTEMPT_OUTCOME_H_

#include <tl/expected.hpp>

#include "knapweedroad/query/record_reply.h"
#include "knapweedroad/query/search_reply.h"
#include "knapweedroad/query/target_attempt_failure.h"
#include "knapweedroad/wire/attempt_reply.h"

namespace knapweedroad {

// A search's answer; a body that can't be read is a failure of a request that
// ran.
tl::expected<SearchReply, TargetAttemptFailure> ReadSubReply(
    const AttemptReply& reply);

tl::expected<RecordReply, TargetAttemptFailure> ReadRecordReply(
    AttemptReply reply);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_ATTEMPT_OUTCOME_H_
