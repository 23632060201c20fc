#include "knapweedroad/edge/request_admission.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/quota/quota_decision.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using Permit = std::function<void(const QuotaDecision&)>;

std::shared_ptr<const RouteTable> Table(
    std::optional<std::vector<ClientAccount>> accounts) {
  return std::make_shared<RouteTable>(
      RoutingConfig{.version = 1, .accounts = std::move(accounts)});
}

// A host whose configuration in force has the accounts "a" with key "k1" and
// "b", which has a quota, with key "k2".
struct Host {
  Host() {
    this->options.newest_table = [this] { return this->newest; };
  }

  // Returns nothing while the result is awaited.
  std::optional<AdmissionResult> Admit(std::vector<std::string> authorization,
                                       bool is_public = false) {
    this->request = {.authorization = std::move(authorization)};
    this->route.is_public = is_public;
    this->admission.emplace(this->options);
    this->result.reset();
    this->admission->Admit(
        *this->table, this->route, this->request,
        [this](const AdmissionResult& given) { this->result = given; });
    return this->result;
  }

  AdmissionOutcome OutcomeOf(std::vector<std::string> authorization,
                             bool is_public = false) {
    const auto given = this->Admit(std::move(authorization), is_public);
    cr_assert(given.has_value());
    return given->outcome;
  }

  std::string AccountOf(std::vector<std::string> authorization,
                        bool is_public = false) {
    const auto given = this->Admit(std::move(authorization), is_public);
    cr_assert(given.has_value());
    return given->account == nullptr ? "" : given->account->name.str();
  }

  std::shared_ptr<const RouteTable> table =
      Table({{{.name = AccountId("a"), .keys = {"k1"}},
              {.name = AccountId("b"), .keys = {"k2"}, .quota = {.rate = 1}}}});
  std::shared_ptr<const RouteTable> newest = table;
  RequestAdmissionOptions options;
  RouteConfig route;
  CallerRequest request;
  std::optional<RequestAdmission> admission;
  std::optional<AdmissionResult> result;
};

Test(request_admission, a_known_key_is_admitted_with_its_account) {
  Host host;
  for (const char* const credential :
       {"Bearer k1", "bearer k1", "BEARER   k1"}) {
    cr_expect(host.AccountOf({credential}) == "a", "%s", credential);
    cr_expect(host.OutcomeOf({credential}) == AdmissionOutcome::kAdmitted);
  }
}

// Guards against credentials of which this host and a target read different
// ones, and against keys that are taken for parts of others.
Test(request_admission, all_other_credentials_are_rejected) {
  Host host;
  for (const std::vector<std::string>& lines :
       std::vector<std::vector<std::string>>{{},
                                             {""},
                                             {"Bearer"},
                                             {"Bearer "},
                                             {"Bearer k"},
                                             {"Bearer k11"},
                                             {"Bearer k1 k2"},
                                             {"Bearer K1"},
                                             {"Bearerk1"},
                                             {"Basic k1"},
                                             {"k1"},
                                             {"Bearer k1", "Bearer k1"},
                                             {"Bearer k1", ""}}) {
    cr_expect(host.OutcomeOf(lines) == AdmissionOutcome::kUnauthorized, "%s",
              lines.empty() ? "none" : lines[0].c_str());
    cr_expect(host.AccountOf(lines).empty());
  }
}

Test(request_admission, without_accounts_nothing_is_checked) {
  Host host;
  host.table = Table(std::nullopt);
  host.options.is_configuration_fresh = [] { return false; };
  cr_expect(host.OutcomeOf({}) == AdmissionOutcome::kAdmitted);
  cr_expect(host.OutcomeOf({"Basic x", "y"}) == AdmissionOutcome::kAdmitted);
}

// Guards against an operator who removes the last account and so opens all
// routes.
Test(request_admission, an_empty_list_of_accounts_admits_nobody) {
  Host host;
  host.table = Table(std::vector<ClientAccount>());
  cr_expect(host.OutcomeOf({"Bearer k1"}) == AdmissionOutcome::kUnauthorized);
}

// Guards against a removed key that works on until the targets of the new
// configuration are ready.
Test(request_admission, a_key_that_the_newest_configuration_lacks_is_rejected) {
  Host host;
  host.newest = Table({{{.name = AccountId("a"), .keys = {"k3"}}}});
  cr_expect(host.OutcomeOf({"Bearer k1"}) == AdmissionOutcome::kUnauthorized);
  // A key that isn't in force yet isn't valid either.
  cr_expect(host.OutcomeOf({"Bearer k3"}) == AdmissionOutcome::kUnauthorized);
  host.newest = Table(std::vector<ClientAccount>());
  cr_expect(host.OutcomeOf({"Bearer k1"}) == AdmissionOutcome::kUnauthorized);
  host.newest = Table(std::nullopt);
  cr_expect(host.OutcomeOf({"Bearer k1"}) == AdmissionOutcome::kAdmitted);
  host.newest = nullptr;
  cr_expect(host.OutcomeOf({"Bearer k1"}) == AdmissionOutcome::kAdmitted);
}

Test(request_admission, a_public_route_needs_no_key_and_knows_those_it_gets) {
  Host host;
  const bool is_public = true;
  host.options.take_permit = [](const AccountId&, const Permit& on_decision) {
    on_decision({.outcome = QuotaOutcome::kOverQuota});
  };
  cr_expect(host.AccountOf({"Bearer k2"}, is_public) == "b");
  for (const char* const credential : {"Bearer unknown", "Basic x", ""}) {
    cr_expect(host.AccountOf({credential}, is_public).empty());
    cr_expect(host.OutcomeOf({credential}, is_public) ==
              AdmissionOutcome::kAdmitted);
  }
  // Served without a proof, but the key isn't trusted.
  host.options.is_configuration_fresh = [] { return false; };
  cr_expect(host.OutcomeOf({"Bearer k1"}, is_public) ==
            AdmissionOutcome::kAdmitted);
  cr_expect(host.AccountOf({"Bearer k1"}, is_public).empty());
}

// Guards against tokens that are spent on requests that don't run.
Test(request_admission, a_request_without_a_proof_asks_for_no_permit) {
  Host host;
  int permits = 0;
  host.options.take_permit = [&](const AccountId&, const Permit&) {
    ++permits;
  };
  host.options.is_configuration_fresh = [] { return false; };
  const auto result = host.Admit({"Bearer k2"});
  cr_assert(result.has_value());
  cr_expect(result->outcome == AdmissionOutcome::kUnproven);
  cr_expect(result->account != nullptr && result->account->name.str() == "b");
  cr_expect(result->retry_after > Duration::zero());
  cr_expect(permits == 0);
}

Test(request_admission, only_an_account_with_a_limit_needs_a_permit) {
  Host host;
  std::vector<std::string> asked;
  host.options.take_permit = [&](const AccountId& account,
                                 const Permit& on_decision) {
    asked.push_back(account.str());
    on_decision({.outcome = QuotaOutcome::kGranted});
  };
  cr_expect(host.OutcomeOf({"Bearer k1"}) == AdmissionOutcome::kAdmitted);
  cr_expect(host.OutcomeOf({"Bearer k2"}) == AdmissionOutcome::kAdmitted);
  cr_expect(asked == std::vector<std::string>{"b"});
}

Test(request_admission, a_refused_permit_says_when_to_come_back) {
  Host host;
  QuotaDecision decision{.outcome = QuotaOutcome::kOverQuota,
                         .retry_after = milliseconds(700)};
  host.options.take_permit = [&](const AccountId&, const Permit& on_decision) {
    on_decision(decision);
  };
  const auto over = host.Admit({"Bearer k2"});
  cr_assert(over && over->outcome == AdmissionOutcome::kOverQuota);
  cr_expect(over->retry_after == milliseconds(700));
  cr_expect(StatusOf(over->outcome) == 429);
  decision.outcome = QuotaOutcome::kUnknown;
  const auto unknown = host.Admit({"Bearer k2"});
  cr_assert(unknown && unknown->outcome == AdmissionOutcome::kQuotaUnknown);
  cr_expect(StatusOf(unknown->outcome) == 503);
}

// Guards against an account that pays for requests that were rejected for want
// of capacity, and against permits that are given back without having been
// taken.
Test(request_admission, only_a_request_that_took_a_permit_gives_it_back) {
  Host host;
  std::vector<std::string> returned;
  host.options.return_permit = [&](const AccountId& account) {
    returned.push_back(account.str());
  };
  const RequestAdmission admission(host.options);
  admission.OnNotRun(*host.table, {}, AccountId("b"));
  admission.OnNotRun(*host.table, {.is_public = true}, AccountId("b"));
  admission.OnNotRun(*host.table, {}, AccountId("a"));
  admission.OnNotRun(*host.table, {}, AccountId());
  cr_expect(returned == std::vector<std::string>{"b"});
}

// Guards against a key that is revoked while its request waits for a permit.
Test(request_admission, the_key_is_checked_again_after_the_permit) {
  Host host;
  Permit granted;
  bool is_fresh = true;
  host.options.take_permit = [&](const AccountId&, Permit on_decision) {
    granted = std::move(on_decision);
  };
  host.options.is_configuration_fresh = [&] { return is_fresh; };

  cr_expect(!host.Admit({"Bearer k2"}).has_value());
  host.newest = Table(std::vector<ClientAccount>());
  granted({.outcome = QuotaOutcome::kGranted});
  cr_assert(host.result.has_value());
  cr_expect(host.result->outcome == AdmissionOutcome::kUnauthorized);

  host.newest = host.table;
  cr_expect(!host.Admit({"Bearer k2"}).has_value());
  is_fresh = false;
  granted({.outcome = QuotaOutcome::kGranted});
  cr_assert(host.result.has_value());
  cr_expect(host.result->outcome == AdmissionOutcome::kUnproven);
}

}  // namespace
}  // namespace knapweedroad
