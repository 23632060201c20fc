// How an attempt at a target ended, as far as this host knows.

#ifndef KNAPWEEDROAD_ADMISSION_ATTEMPT_RESULT_H_
#define KNAPWEEDROAD_ADMISSION_ATTEMPT_RESULT_H_

#include <cstdint>
#include <optional>

#include "knapweedroad/base/time.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

enum class AttemptStatus : uint8_t {
  // The target answered, the request ran.
  kOk,
  // The target refused for want of a slot: it did not run.
  kShed,
  // The target answered with any other error.
  kError,
  // The target confirmed the cancellation of a running attempt.
  kCancelled,
  // Nothing of it was ever written to a socket, for a reason of this host's.
  kNotSent,
  // Nothing of it was written because no connection could be opened.
  kConnectFailed,
  // The connection broke after the first byte: the target may be at it still.
  kConnectionLost,
  // This host gave up waiting: the target may be at it still.
  kTimeout,
};

struct AttemptResult {
  AttemptStatus status = AttemptStatus::kOk;
  // From the first byte written to the end of the answer; read for `kOk` only.
  Duration latency{};
  // The state that the target named in this answer, if it did.
  std::optional<TargetState> state = std::nullopt;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ATTEMPT_RESULT_H_
