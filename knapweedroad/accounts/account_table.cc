#include "knapweedroad/accounts/account_table.h"

#include "knapweedroad/accounts/client_account.h"

namespace knapweedroad {

AccountTable::AccountTable(std::span<const ClientAccount> accounts) {
  size_t keys = 0;
  for (const ClientAccount& account : accounts) {
    keys += account.keys.size();
  }
  this->by_key.reserve(keys);
  this->by_name.reserve(accounts.size());
  for (const ClientAccount& account : accounts) {
    this->by_name.emplace(account.name.str(), &account);
    for (const std::string& key : account.keys) {
      this->by_key.emplace(key, &account);
    }
  }
}

const ClientAccount* AccountTable::FindByKey(std::string_view key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : found->second;
}

const ClientAccount* AccountTable::FindByName(const AccountId& name) const {
  const auto found = this->by_name.find(name.str());
  return found == this->by_name.end() ? nullptr : found->second;
}

}  // namespace knapweedroad
