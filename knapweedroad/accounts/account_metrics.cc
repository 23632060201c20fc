#include "knapweedroad/accounts/account_metrics.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedroad {
namespace {

// The label of accounts that aren't reported by name. An account of this name
// is counted there, as two series must not have the same labels.
constexpr std::string_view kOther = "other";

constexpr std::array<std::string_view, 4> kOutcomeNames = {
    "admitted", "over_quota", "quota_unknown", "unproven"};

// A label value, with the characters escaped that end it.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

template <typename Counts>
uint64_t Sum(const Counts& counts) {
  return std::accumulate(counts.begin(), counts.end(), uint64_t{0});
}

template <typename Counts>
void PrintCounts(std::ostream& out,
                 std::string_view account,
                 const Counts& counts) {
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      out << "knapweedroad_account_requests_total{account=\"" << Escape(account)
          << "\",outcome=\"" << kOutcomeNames[i] << "\"} " << counts[i] << "\n";
    }
  }
}

}  // namespace

void AccountMetrics::Count(const AccountId& account, AccountOutcome outcome) {
  const auto index = static_cast<size_t>(outcome);
  const auto found = this->by_account.find(account.str());
  if (found != this->by_account.end()) {
    ++found->second[index];
  } else if (account.str() == kOther ||
             this->by_account.size() >= kMaxAccounts) {
    ++this->others[index];
  } else {
    ++this->by_account[account.str()][index];
  }
}

void AccountMetrics::Print(std::ostream& out) const {
  using Entry = std::pair<std::string_view, const Counts*>;
  std::vector<Entry> entries;
  entries.reserve(this->by_account.size());
  for (const auto& [name, counts] : this->by_account) {
    entries.emplace_back(name, &counts);
  }
  const size_t named = std::min(kNamedAccounts, entries.size());
  std::ranges::partial_sort(
      entries, entries.begin() + static_cast<ptrdiff_t>(named),
      [](const Entry& left, const Entry& right) {
        const uint64_t left_sum = Sum(*left.second);
        const uint64_t right_sum = Sum(*right.second);
        return left_sum != right_sum ? left_sum > right_sum
                                     : left.first < right.first;
      });
  Counts rest = this->others;
  for (size_t i = named; i < entries.size(); ++i) {
    for (size_t outcome = 0; outcome < kOutcomes; ++outcome) {
      rest[outcome] += (*entries[i].second)[outcome];
    }
  }
  if (named > 0 || Sum(rest) > 0) {
    out << "# TYPE knapweedroad_account_requests_total counter\n";
  }
  for (size_t i = 0; i < named; ++i) {
    PrintCounts(out, entries[i].first, *entries[i].second);
  }
  PrintCounts(out, kOther, rest);
  if (this->unauthorized > 0) {
    out << "# TYPE knapweedroad_unauthorized_requests_total counter\n"
        << "knapweedroad_unauthorized_requests_total " << this->unauthorized
        << "\n";
  }
}

}  // namespace knapweedroad
