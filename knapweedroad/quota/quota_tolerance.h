// How far the requests of an account may exceed its quota in a window, as the
// settings state it.

#ifndef KNAPWEEDROAD_QUOTA_QUOTA_TOLERANCE_H_
#define KNAPWEEDROAD_QUOTA_QUOTA_TOLERANCE_H_

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// In any window, at most (rate * window + burst) * (1 + overshoot) + slack
// requests of an account may run.
struct QuotaTolerance {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0;
  // Requests.
  double slack = 0;

  friend bool operator==(const QuotaTolerance&,
                         const QuotaTolerance&) = default;
};

// An entry host uses a permit within this time of asking for it, or discards
// it. The requests that run in a window may therefore exceed the permits given
// in it by as many as the rate allows in this time.
inline constexpr Duration kPermitLifetime = std::chrono::milliseconds(250);

// The tokens that a new leader starts with for each account, as it doesn't know
// what its predecessor granted.
inline constexpr double kStartTokens = 2;

// Returns how many tokens of the account may be available and outstanding
// together: its burst, and a reserve of at most half of the tolerance.
double QuotaCapacity(const AccountQuota& quota,
                     const QuotaTolerance& tolerance);

// Returns how many tokens a new leader may have available and outstanding,
// beyond those that pools report of its predecessor, until all tokens of the
// predecessor have expired: half of the reserve, at least kStartTokens and at
// most the capacity. Two changes of the leader in a window therefore stay
// within the tolerance.
double StartAllowance(const AccountQuota& quota,
                      const QuotaTolerance& tolerance);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_TOLERANCE_H_
