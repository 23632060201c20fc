#include "knapweedroad/accounts/account_metrics.h"

#include <criterion/criterion.h>

#include <sstream>
#include <string>

namespace knapweedroad {
namespace {

std::string Print(const AccountMetrics& metrics) {
  std::ostringstream out;
  metrics.Print(out);
  return std::move(out).str();
}

std::string Line(const std::string& account,
                 const std::string& outcome,
                 int count) {
  return "knapweedroad_account_requests_total{account=\"" + account +
         "\",outcome=\"" + outcome + "\"} " + std::to_string(count) + "\n";
}

// Guards against a page that changes for deployments without accounts.
Test(account_metrics, nothing_is_printed_before_the_first_request) {
  cr_expect(Print(AccountMetrics()).empty());
}

// Guards against a metrics page that grows with the number of accounts.
Test(account_metrics, only_the_busiest_accounts_are_named) {
  AccountMetrics metrics;
  for (int account = 0; account < 30; ++account) {
    for (int i = 0; i <= account; ++i) {
      metrics.Count(AccountId("a" + std::to_string(account)),
                    AccountOutcome::kAdmitted);
    }
  }
  const std::string page = Print(metrics);
  cr_expect(page.find(Line("a29", "admitted", 30)) != std::string::npos);
  cr_expect(page.find(Line("a10", "admitted", 11)) != std::string::npos);
  cr_expect(page.find("\"a9\"") == std::string::npos);
  cr_expect(page.find(Line("other", "admitted", 55)) != std::string::npos);
}

// Guards against two series with the same labels, which Prometheus rejects
// together with the whole page.
Test(account_metrics, an_account_named_other_is_not_reported_by_name) {
  AccountMetrics metrics;
  metrics.Count(AccountId("other"), AccountOutcome::kOverQuota);
  metrics.Count(AccountId("other"), AccountOutcome::kUnproven);
  const std::string page = Print(metrics);
  cr_expect(page.find(Line("other", "over_quota", 1)) != std::string::npos);
  cr_expect(page.find(Line("other", "unproven", 1)) != std::string::npos);
}

// Guards against a name that ends its label and starts another one.
Test(account_metrics, names_are_escaped) {
  AccountMetrics metrics;
  metrics.Count(AccountId("a\"b\\"), AccountOutcome::kQuotaUnknown);
  cr_expect(Print(metrics).find(Line("a\\\"b\\\\", "quota_unknown", 1)) !=
            std::string::npos);
}

Test(account_metrics, requests_without_a_known_key_have_one_counter) {
  AccountMetrics metrics;
  metrics.CountUnauthorized();
  metrics.CountUnauthorized();
  cr_expect(
      Print(metrics).find("knapweedroad_unauthorized_requests_total 2\n") !=
      std::string::npos);
}

}  // namespace
}  // namespace knapweedroad
