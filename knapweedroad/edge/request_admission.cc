#include "knapweedroad/edge/request_admission.h"

#include <string>
#include <utility>

#include "knapweedroad/accounts/account_table.h"
#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_text.h"
#include "knapweedroad/quota/quota_decision.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

// A lost proof is usually replaced by the next confirmation or the one after,
// which follow each other every 400 ms; the load balancer needs longer to send
// callers elsewhere.
constexpr Duration kRetryUnproven = std::chrono::milliseconds(800);

constexpr int kUnauthorizedStatus = 401;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;

// Returns the key of a Bearer credential; empty if it is none.
std::string_view BearerKey(std::string_view credential) {
  constexpr std::string_view kScheme = "Bearer";
  if (credential.size() <= kScheme.size() ||
      credential[kScheme.size()] != ' ' ||
      !IsSameName(credential.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  credential.remove_prefix(kScheme.size());
  const size_t start = credential.find_first_not_of(' ');
  return start == std::string_view::npos ? std::string_view()
                                         : credential.substr(start);
}

// Returns the request's key; empty if it has none or several credentials, of
// which a target might have read another one.
std::string_view KeyOf(const CallerRequest& request) {
  return request.authorization.size() == 1
             ? BearerKey(request.authorization.front())
             : std::string_view();
}

AdmissionOutcome OutcomeOf(QuotaOutcome quota) {
  switch (quota) {
    case QuotaOutcome::kGranted:
      return AdmissionOutcome::kAdmitted;
    case QuotaOutcome::kOverQuota:
      return AdmissionOutcome::kOverQuota;
    case QuotaOutcome::kUnknown:
      break;
  }
  return AdmissionOutcome::kQuotaUnknown;
}

// Whether the key is known in the newest configuration. One that has no
// accounts removes no keys.
bool IsInNewest(const RequestAdmissionOptions& options, std::string_view key) {
  const std::shared_ptr<const RouteTable> newest =
      options.newest_table ? options.newest_table() : nullptr;
  return newest == nullptr || newest->accounts() == nullptr ||
         newest->accounts()->FindByKey(key) != nullptr;
}

bool IsFresh(const RequestAdmissionOptions& options) {
  return !options.is_configuration_fresh || options.is_configuration_fresh();
}

// Returns the result for a request whose quota isn't exceeded.
AdmissionResult CheckKey(const RequestAdmissionOptions& options,
                         const ClientAccount& account,
                         std::string_view key) {
  if (!IsInNewest(options, key)) {
    return {.outcome = AdmissionOutcome::kUnauthorized};
  }
  if (!IsFresh(options)) {
    return {.outcome = AdmissionOutcome::kUnproven,
            .account = &account,
            .retry_after = kRetryUnproven};
  }
  return {.account = &account};
}

}  // namespace

std::string_view ToString(AdmissionOutcome outcome) {
  switch (outcome) {
    case AdmissionOutcome::kAdmitted:
      return "admitted";
    case AdmissionOutcome::kUnauthorized:
      return "unauthorized";
    case AdmissionOutcome::kUnproven:
      return "unproven";
    case AdmissionOutcome::kOverQuota:
      return "over_quota";
    case AdmissionOutcome::kQuotaUnknown:
      return "quota_unknown";
  }
  return "unknown";
}

int StatusOf(AdmissionOutcome outcome) {
  switch (outcome) {
    case AdmissionOutcome::kAdmitted:
      return kOk;
    case AdmissionOutcome::kUnauthorized:
      return kUnauthorizedStatus;
    case AdmissionOutcome::kOverQuota:
      return kTooManyRequests;
    case AdmissionOutcome::kUnproven:
    case AdmissionOutcome::kQuotaUnknown:
      break;
  }
  return kUnavailable;
}

RequestAdmission::RequestAdmission(RequestAdmissionOptions options)
    : options(std::move(options)) {}

void RequestAdmission::Admit(const RouteTable& table,
                             const RouteConfig& route,
                             const CallerRequest& request,
                             OnResult on_result) const {
  const AccountTable* const accounts = table.accounts();
  if (accounts == nullptr) {
    on_result({});
    return;
  }
  const std::string_view key = KeyOf(request);
  const ClientAccount* const account =
      key.empty() ? nullptr : accounts->FindByKey(key);
  const AdmissionResult result =
      account == nullptr
          ? AdmissionResult{.outcome = AdmissionOutcome::kUnauthorized}
          : CheckKey(this->options, *account, key);
  const bool is_trusted = result.outcome == AdmissionOutcome::kAdmitted;
  if (route.is_public) {
    on_result(is_trusted ? result : AdmissionResult{});
    return;
  }
  // No permit is spent on a request that is rejected anyway.
  if (!is_trusted || !account->quota.is_limited() ||
      !this->options.take_permit) {
    on_result(result);
    return;
  }
  this->options.take_permit(
      account->name, [this, account, key, on_result = std::move(on_result)](
                         const QuotaDecision& decision) {
        const AdmissionOutcome outcome = OutcomeOf(decision.outcome);
        // The key may have been removed, or the proof lost, while the permit
        // was asked for.
        on_result(outcome == AdmissionOutcome::kAdmitted
                      ? CheckKey(this->options, *account, key)
                      : AdmissionResult{.outcome = outcome,
                                        .account = account,
                                        .retry_after = decision.retry_after});
      });
}

void RequestAdmission::OnNotRun(const RouteTable& table,
                                const RouteConfig& route,
                                const AccountId& name) const {
  // Requests of public routes take no permit.
  const bool may_have_permit = table.accounts() != nullptr && !route.is_public;
  const ClientAccount* const account =
      may_have_permit ? table.accounts()->FindByName(name) : nullptr;
  if (account != nullptr && account->quota.is_limited() &&
      this->options.return_permit) {
    this->options.return_permit(name);
  }
}

}  // namespace knapweedroad
