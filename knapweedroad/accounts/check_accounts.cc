#include "knapweedroad/accounts/check_accounts.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "knapweedroad/accounts/client_account.h"

namespace knapweedroad {
namespace {

// Where a key was listed first.
struct KeyPlace {
  size_t account = 0;
  size_t index = 0;
};

using KeyPlaces = std::unordered_map<std::string_view, KeyPlace>;

// Control characters would end the header line that carries the text.
bool HasControlCharacter(std::string_view text) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::ranges::any_of(
      text, [](unsigned char c) { return c < kSpace || c == kDelete; });
}

bool IsQuantity(double value) {
  return std::isfinite(value) && value >= 0;
}

class AccountChecker {
 public:
  explicit AccountChecker(std::span<const ClientAccount> accounts)
      : accounts(accounts) {
    this->names.reserve(accounts.size());
    this->places.reserve(accounts.size() * 2);
  }

  std::vector<std::string> Check() {
    for (size_t i = 0; i < this->accounts.size(); ++i) {
      this->CheckName(i);
      this->CheckQuota(i);
      for (size_t key = 0; key < this->accounts[i].keys.size(); ++key) {
        this->CheckKey({.account = i, .index = key});
      }
    }
    return std::move(this->faults);
  }

 private:
  // Accounts are named by their index as well, since the name may be empty. A
  // name with a control character would break the line that quotes it.
  std::string Location(size_t account) const {
    const std::string& name = this->accounts[account].name.str();
    std::string location = "client account " + std::to_string(account);
    if (!HasControlCharacter(name)) {
      location += " '" + name + "'";
    }
    return location;
  }

  void Add(size_t account, std::string_view fault) {
    this->faults.push_back(this->Location(account) + ": " + std::string(fault));
  }

  void CheckName(size_t account) {
    const std::string& name = this->accounts[account].name.str();
    if (name.empty()) {
      this->Add(account, "the name is empty; give it one");
    } else if (HasControlCharacter(name)) {
      this->Add(account, "the name has a control character; remove it");
    } else if (!this->names.insert(name).second) {
      this->Add(account, "another account has the same name; rename one");
    }
  }

  void CheckQuota(size_t account) {
    const AccountQuota& quota = this->accounts[account].quota;
    if (!IsQuantity(quota.rate)) {
      this->Add(account, "the rate is negative; set it to 0 or more");
    }
    if (!IsQuantity(quota.burst)) {
      this->Add(account, "the burst is negative; set it to 0 or more");
    }
  }

  void CheckKey(const KeyPlace& place) {
    const std::string& key = this->accounts[place.account].keys[place.index];
    const std::string which = "key " + std::to_string(place.index);
    if (key.empty()) {
      this->Add(place.account, which + " is empty; remove it");
      return;
    }
    if (HasControlCharacter(key)) {
      this->Add(place.account, which + " has a control character; replace it");
      return;
    }
    const auto [first, is_new] = this->places.try_emplace(key, place);
    if (!is_new && first->second.account != place.account) {
      this->Add(place.account,
                which + " is also key " + std::to_string(first->second.index) +
                    " of " + this->Location(first->second.account) +
                    "; remove one");
    }
  }

  std::span<const ClientAccount> accounts;
  std::unordered_set<std::string_view> names;
  KeyPlaces places;
  std::vector<std::string> faults;
};

}  // namespace

std::vector<std::string> CheckAccounts(
    std::span<const ClientAccount> accounts) {
  return AccountChecker(accounts).Check();
}

}  // namespace knapweedroad
