// The outcome of an attempt at a target, as seen by the host that sent it.

#ifndef KNAPWEEDROAD_ADMISSION_ATTEMPT_RESULT_H_
#define KNAPWEEDROAD_ADMISSION_ATTEMPT_RESULT_H_

#include <cstdint>
#include <optional>

#include "knapweedroad/base/time.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

enum class AttemptStatus : uint8_t {
  // The target ran the request and answered.
  kOk,
  // The target refused because it had no free slot. The request did not run.
  kShed,
  // The target answered with another error.
  kError,
  // The target confirmed that it cancelled the running attempt.
  kCancelled,
  // This host decided not to send the attempt; no byte of it was written.
  kNotSent,
  // No connection could be opened, so no byte of the attempt was written.
  kConnectFailed,
  // The connection broke after the first byte was written. The target may still
  // be running the request.
  kConnectionLost,
  // This host stopped waiting for the answer. The target may still be running
  // the request.
  kTimeout,
};

struct AttemptResult {
  AttemptStatus status = AttemptStatus::kOk;
  // The time from the first byte written to the end of the answer. Used for
  // `kOk` only.
  Duration latency{};
  // The target's state as given in this answer, if the answer contains it.
  std::optional<TargetState> state = std::nullopt;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ATTEMPT_RESULT_H_
