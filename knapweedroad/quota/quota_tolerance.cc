#include "knapweedroad/quota/quota_tolerance.h"

#include <algorithm>

namespace knapweedroad {

double QuotaCapacity(const AccountQuota& quota,
                     const QuotaTolerance& tolerance) {
  const double window = std::chrono::duration<double>(tolerance.window).count();
  const double lifetime =
      std::chrono::duration<double>(kPermitLifetime).count();
  const double allowed = quota.rate * window + quota.burst;
  const double reserve = (tolerance.overshoot * allowed + tolerance.slack) / 2 -
                         quota.rate * lifetime;
  return quota.burst + std::max(0.0, reserve);
}

double StartAllowance(const AccountQuota& quota,
                      const QuotaTolerance& tolerance) {
  const double capacity = QuotaCapacity(quota, tolerance);
  const double reserve = capacity - quota.burst;
  return std::min(std::max(kStartTokens, reserve / 2), capacity);
}

}  // namespace knapweedroad
