// Decides whether a caller's request may be sent to targets: by its key, the
// proof that the configuration is fresh enough to trust keys, and the quota of
// its client account.
//
//   RequestAdmission admission({.newest_table = ..., .take_permit = ...});
//   admission.Admit(table, route, request, [](const AdmissionResult& result) {
//     ...
//   });

#ifndef KNAPWEEDROAD_EDGE_REQUEST_ADMISSION_H_
#define KNAPWEEDROAD_EDGE_REQUEST_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class RouteTable;
struct CallerRequest;
struct ClientAccount;
struct QuotaDecision;
struct RouteConfig;

enum class AdmissionOutcome : uint8_t {
  kAdmitted,
  // The route requires a key, and the request has none or an unknown one.
  kUnauthorized,
  // Keys can't be trusted now, as no proof of freshness is held.
  kUnproven,
  kOverQuota,
  // Whether the request is within its quota can't be found out now.
  kQuotaUnknown,
};

// Returns the outcome's name in logs and metrics.
std::string_view ToString(AdmissionOutcome outcome);

// Returns the status of the answer to a request that isn't admitted.
int StatusOf(AdmissionOutcome outcome);

struct AdmissionResult {
  AdmissionOutcome outcome = AdmissionOutcome::kAdmitted;
  // The account that holds the request's key; null if there is none. Valid as
  // long as the route table.
  const ClientAccount* account = nullptr;
  // When another try may be admitted; not used for kAdmitted and
  // kUnauthorized.
  Duration retry_after{};
};

struct RequestAdmissionOptions {
  // Returns the table of the newest configuration that this host has read,
  // which may not be in force yet; null if there is none.
  std::function<std::shared_ptr<const RouteTable>()> newest_table;
  // Whether the configuration is proven to be fresh enough to trust keys. Asked
  // last, right before the result. Unset: keys are always trusted.
  std::function<bool()> is_configuration_fresh;
  // Asks for a permit for one request of an account with a limit, and calls
  // back exactly once. Unset: quotas aren't enforced.
  std::function<void(const AccountId& account,
                     std::function<void(const QuotaDecision&)> on_decision)>
      take_permit;
  // Gives back a permit whose request was rejected without having run. Unset
  // with `take_permit`.
  std::function<void(const AccountId& account)> return_permit;
};

class RequestAdmission {
 public:
  using OnResult = std::function<void(const AdmissionResult&)>;

  explicit RequestAdmission(RequestAdmissionOptions options);

  // Calls `on_result` exactly once, before it returns or later. `table` is the
  // one in force; it, `route` and `request` must be valid until then.
  //
  // A key counts if both `table` and the newest table have it, with the account
  // of `table`. On a public route the request is admitted in any case, without
  // a permit, and with the account of its key if it has a trusted one. If
  // `table` has no accounts, all requests are admitted without one.
  void Admit(const RouteTable& table,
             const RouteConfig& route,
             const CallerRequest& request,
             OnResult on_result) const;

  // Records that an admitted request of the account was rejected and is proven
  // not to have run, so that it doesn't count against the account's quota.
  // `table` and `route` are those that the request was admitted by.
  void OnNotRun(const RouteTable& table,
                const RouteConfig& route,
                const AccountId& account) const;

 private:
  RequestAdmissionOptions options;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REQUEST_ADMISSION_H_
