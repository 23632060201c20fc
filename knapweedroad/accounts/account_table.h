// Finds the client account that holds a key.
//
//   AccountTable table(config.accounts);
//   const ClientAccount* account = table.FindByKey(key);

#ifndef KNAPWEEDROAD_ACCOUNTS_ACCOUNT_TABLE_H_
#define KNAPWEEDROAD_ACCOUNTS_ACCOUNT_TABLE_H_

#include <span>
#include <string_view>
#include <unordered_map>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

struct ClientAccount;

// Immutable. Refers to the accounts, which must outlive it.
class AccountTable {
 public:
  // No two accounts may share a key or a name.
  explicit AccountTable(std::span<const ClientAccount> accounts);

  // Return null if there is no such account. The result is valid as long as the
  // accounts. Both take constant time.
  const ClientAccount* FindByKey(std::string_view key) const;
  const ClientAccount* FindByName(const AccountId& name) const;

 private:
  std::unordered_map<std::string_view, const ClientAccount*> by_key;
  std::unordered_map<std::string_view, const ClientAccount*> by_name;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ACCOUNTS_ACCOUNT_TABLE_H_
