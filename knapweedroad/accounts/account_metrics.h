// Counts the requests of client accounts by outcome, in Prometheus' text
// format.
//
//   metrics.Count(account, AccountOutcome::kAdmitted);
//   metrics.Print(out);

#ifndef KNAPWEEDROAD_ACCOUNTS_ACCOUNT_METRICS_H_
#define KNAPWEEDROAD_ACCOUNTS_ACCOUNT_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <unordered_map>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// How the admission of a request with a known key ended.
enum class AccountOutcome : uint8_t {
  kAdmitted,
  kOverQuota,
  // Whether it was within its quota couldn't be found out.
  kQuotaUnknown,
  // No proof of freshness was held.
  kUnproven,
};

class AccountMetrics {
 public:
  // Accounts reported by name; all others are reported together as "other".
  static constexpr size_t kNamedAccounts = 20;

  void Count(const AccountId& account, AccountOutcome outcome);
  // Counts a request that was rejected since it had no known key.
  void CountUnauthorized() { ++this->unauthorized; }

  // Prints the accounts with the most requests by name and the sum of all
  // others. Prints nothing if nothing was counted.
  void Print(std::ostream& out) const;

 private:
  // Bounds the memory when accounts come and go over months; further ones are
  // counted together.
  static constexpr size_t kMaxAccounts = 20'000;
  static constexpr size_t kOutcomes = 4;

  using Counts = std::array<uint64_t, kOutcomes>;

  std::unordered_map<std::string, Counts> by_account;
  Counts others{};
  uint64_t unauthorized = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ACCOUNTS_ACCOUNT_METRICS_H_
