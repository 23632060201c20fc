// The decision on whether one request of a client account may run under the
// account's quota.

#ifndef KNAPWEEDROAD_QUOTA_QUOTA_DECISION_H_
#define KNAPWEEDROAD_QUOTA_QUOTA_DECISION_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

enum class QuotaOutcome : uint8_t {
  kGranted = 0,
  kOverQuota = 1,
  // No token is held and the leader can't be asked.
  kUnknown = 2,
};

struct QuotaDecision {
  QuotaOutcome outcome = QuotaOutcome::kUnknown;
  // Unless granted: when a token is expected.
  Duration retry_after{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_DECISION_H_
