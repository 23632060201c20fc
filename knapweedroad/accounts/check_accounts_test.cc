#include "knapweedroad/accounts/check_accounts.h"

#include <criterion/criterion.h>

#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "knapweedroad/accounts/client_account.h"

namespace knapweedroad {
namespace {

// Each key contains this, so that a message that quotes a key is found.
constexpr std::string_view kSecret = "s3cr3t";

std::string Key(const std::string& suffix) {
  return std::string(kSecret) + suffix;
}

ClientAccount Account(const char* name, std::vector<std::string> keys) {
  return {.name = AccountId(name), .keys = std::move(keys)};
}

// Expects one fault that names the account and no key.
void ExpectFault(const std::vector<ClientAccount>& accounts,
                 std::string_view location,
                 std::string_view what) {
  const std::vector<std::string> faults = CheckAccounts(accounts);
  cr_assert(faults.size() == 1, "%zu faults", faults.size());
  cr_expect(faults[0].find(location) != std::string::npos, "%s",
            faults[0].c_str());
  cr_expect(faults[0].find(what) != std::string::npos, "%s", faults[0].c_str());
  cr_expect(faults[0].find(kSecret) == std::string::npos, "%s",
            faults[0].c_str());
}

Test(check_accounts, a_key_may_be_listed_twice_in_one_account) {
  const std::vector<ClientAccount> accounts = {
      Account("a", {Key("1"), Key("2"), Key("1")}), Account("b", {Key("3")}),
      Account("c", {})};
  cr_expect(CheckAccounts(accounts).empty());
}

// Guards against a key that identifies two customers.
Test(check_accounts, the_same_key_in_two_accounts_is_a_fault) {
  ExpectFault(
      {Account("a", {Key("1"), Key("2")}), Account("b", {Key("3"), Key("2")})},
      "1 'b'", "key 1 is also key 1 of client account 0 'a'");
}

Test(check_accounts, two_accounts_of_the_same_name_are_a_fault) {
  ExpectFault({Account("a", {Key("1")}), Account("a", {Key("2")})}, "1 'a'",
              "same name");
}

// Guards against a header line or a log line that a name or key ends.
Test(check_accounts, empty_texts_and_control_characters_are_faults) {
  ExpectFault({Account("a", {}), Account("", {Key("1")})}, "1 ''", "empty");
  ExpectFault({Account("a\r\nb", {Key("1")})},
              "account 0:", "the name has a control character");
  ExpectFault({Account("a\x7f", {Key("1")})},
              "account 0:", "the name has a control character");
  ExpectFault({Account("a", {Key("1"), ""})}, "0 'a'", "key 1 is empty");
  ExpectFault({Account("a", {Key("1"), Key("\n")})}, "0 'a'",
              "key 1 has a control character");
}

Test(check_accounts, negative_and_infinite_quotas_are_faults) {
  ClientAccount account = Account("a", {Key("1")});
  account.quota = {.rate = -0.5, .burst = 1};
  ExpectFault({account}, "0 'a'", "rate");
  account.quota = {.rate = 2, .burst = -1};
  ExpectFault({account}, "0 'a'", "burst");
  account.quota = {.rate = std::numeric_limits<double>::infinity()};
  ExpectFault({account}, "0 'a'", "rate");
}

}  // namespace
}  // namespace knapweedroad
