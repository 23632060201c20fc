// Checks the client accounts of a routing configuration.
//
//   std::vector<std::string> faults = CheckAccounts(*config.accounts);

#ifndef KNAPWEEDROAD_ACCOUNTS_CHECK_ACCOUNTS_H_
#define KNAPWEEDROAD_ACCOUNTS_CHECK_ACCOUNTS_H_

#include <span>
#include <string>
#include <vector>

namespace knapweedroad {

struct ClientAccount;

// Returns the reasons why the accounts are invalid, one message for each fault,
// with the account and what to change. Messages name a key by its index in the
// account's list, as keys are secrets. A key may be listed twice in one
// account.
std::vector<std::string> CheckAccounts(std::span<const ClientAccount> accounts);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ACCOUNTS_CHECK_ACCOUNTS_H_
