// A client account of a routing configuration: the keys that identify its
// callers, its quota and its priority.

#ifndef KNAPWEEDROAD_ACCOUNTS_CLIENT_ACCOUNT_H_
#define KNAPWEEDROAD_ACCOUNTS_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// The requests of an account that may run, over all hosts together: in any
// window at most `rate` times its length, plus `burst`.
struct AccountQuota {
  // Requests per second; zero if there is no limit.
  double rate = 0;
  // Requests.
  double burst = 0;

  bool is_limited() const { return this->rate > 0; }
  friend bool operator==(const AccountQuota&, const AccountQuota&) = default;
};

// CheckRouting() reports invalid values.
struct ClientAccount {
  AccountId name;
  // Secrets: they must not appear in logs, metrics, error messages or messages
  // between hosts other than the agreed configuration.
  std::vector<std::string> keys;
  AccountQuota quota;
  // Takes precedence over the priority of the route; zero is the most urgent.
  std::optional<uint32_t> priority;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ACCOUNTS_CLIENT_ACCOUNT_H_
