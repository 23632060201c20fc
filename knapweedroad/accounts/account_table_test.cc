#include "knapweedroad/accounts/account_table.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "knapweedroad/accounts/client_account.h"

namespace knapweedroad {
namespace {

// Guards against an account that is found by only one of its keys, or by a
// prefix of a key.
Test(account_table, finds_an_account_by_each_of_its_whole_keys) {
  const std::vector<ClientAccount> accounts = {
      {.name = AccountId("a"), .keys = {"k1", "k2", "k1"}},
      {.name = AccountId("b"), .keys = {"k3"}},
      {.name = AccountId("no keys")}};
  const AccountTable table(accounts);
  cr_expect(table.FindByKey("k1") == &accounts[0]);
  cr_expect(table.FindByKey("k2") == &accounts[0]);
  cr_expect(table.FindByKey("k3") == &accounts[1]);
  for (const char* const unknown : {"", "k", "k11", "K1", "a"}) {
    cr_expect(table.FindByKey(unknown) == nullptr, "%s", unknown);
  }
  cr_expect(table.FindByName(AccountId("no keys")) == &accounts[2]);
  cr_expect(table.FindByName(AccountId("k1")) == nullptr);
}

}  // namespace
}  // namespace knapweedroad
