#include "knapweedroad/edge/admit_request.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/edge/account_header.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_refusal.h"
#include "knapweedroad/edge/caller_server.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/entry_request.h"
#include "knapweedroad/edge/leaving_schedule.h"
#include "knapweedroad/edge/request_admission.h"
#include "knapweedroad/edge/request_log.h"
#include "knapweedroad/edge/run_plan.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

constexpr Duration kRetryWithoutConfiguration = std::chrono::milliseconds(500);
// Other hosts take the request now.
constexpr Duration kRetryElsewhere = Duration::zero();
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// A request that isn't admitted yet.
class PendingRequest : public std::enable_shared_from_this<PendingRequest> {
 public:
  PendingRequest(EntryParts& parts,
                 CallerRequest request,
                 std::shared_ptr<CallerExchange> exchange)
      : parts(parts),
        table(parts.table),
        request(std::move(request)),
        exchange(std::move(exchange)) {}

  void Start();

 private:
  // Whether the host is about to end, and might before the request does.
  bool ComesTooLate() const;
  void RefuseAtStop();
  void OnAdmission(const AdmissionResult& result);
  void Refuse(int status,
              std::string_view cause,
              std::optional<Duration> retry_after,
              const ClientAccount* account);
  void OnCallerLeft();

  EntryParts& parts;
  // The one in force when the request was received.
  std::shared_ptr<const RouteTable> table;
  CallerRequest request;
  std::shared_ptr<CallerExchange> exchange;
  // Null until it was found.
  const RouteConfig* route = nullptr;
  // The caller has left, or was answered.
  bool has_ended = false;
};

void PendingRequest::Start() {
  if (this->table == nullptr) {
    this->Refuse(kUnavailable, "no_configuration", kRetryWithoutConfiguration,
                 nullptr);
    return;
  }
  this->route = this->table->Find(this->request.host, this->request.path);
  if (this->route == nullptr) {
    this->Refuse(kNotFound, "no_route", std::nullopt, nullptr);
    return;
  }
  if (this->ComesTooLate()) {
    this->RefuseAtStop();
    return;
  }
  const auto self = this->shared_from_this();
  this->exchange->on_abandoned = [self] { self->OnCallerLeft(); };
  this->exchange->on_stopped = [self] {
    self->has_ended = true;
    self->RefuseAtStop();
  };
  this->parts.admission.Admit(
      *this->table, *this->route, this->request,
      [self](const AdmissionResult& result) { self->OnAdmission(result); });
}

bool PendingRequest::ComesTooLate() const {
  if (!this->parts.leaving) {
    return false;
  }
  const TimePoint now = Runtime::Now();
  const LeavingSchedule& leaving = *this->parts.leaving;
  const Duration longest = RunDeadline(*this->route, this->request) - now;
  const auto memory = this->parts.routes.find(this->route->name);
  const Duration expected = ExpectedRunTime(
      *this->route,
      memory == this->parts.routes.end() ? RouteMemory() : memory->second,
      longest);
  return !leaving.MayTake(now, longest) ||
         !leaving.CanEnd(now, std::min(longest, expected));
}

void PendingRequest::RefuseAtStop() {
  this->Refuse(kUnavailable, "leaving", kRetryElsewhere, nullptr);
}

void PendingRequest::OnAdmission(const AdmissionResult& result) {
  if (this->has_ended) {
    return;
  }
  this->parts.metrics.CountAdmission(result);
  if (this->ComesTooLate()) {
    this->RefuseAtStop();
    return;
  }
  if (result.outcome != AdmissionOutcome::kAdmitted) {
    const bool may_come_back =
        result.outcome != AdmissionOutcome::kUnauthorized;
    this->Refuse(
        StatusOf(result.outcome), ToString(result.outcome),
        may_come_back ? std::optional(result.retry_after) : std::nullopt,
        result.account);
    return;
  }
  SetAccount(this->request, {.header_names = this->parts.header_names,
                             .route = *this->route,
                             .has_accounts = this->table->accounts() != nullptr,
                             .account = result.account});
  StartEntryRequest(this->parts, {.table = std::move(this->table),
                                  .route = this->route,
                                  .request = std::move(this->request),
                                  .exchange = std::move(this->exchange)});
}

void PendingRequest::Refuse(int status,
                            std::string_view cause,
                            std::optional<Duration> retry_after,
                            const ClientAccount* account) {
  const std::string_view route_name =
      this->route == nullptr ? "none" : std::string_view(this->route->name);
  this->parts.metrics.CountRequest(route_name, cause, Duration::zero());
  LogRequestRefused(
      this->request,
      {.route = route_name,
       .status = status,
       .cause = cause,
       .version = this->table == nullptr ? 0 : this->table->version(),
       .account =
           LoggedAccount(this->table.get(),
                         account == nullptr ? AccountId() : account->name)});
  this->exchange->Answer(MakeRefusal(status, retry_after));
}

// The result of the admission is awaited, and changes nothing.
void PendingRequest::OnCallerLeft() {
  this->has_ended = true;
  const Duration took = Runtime::Now() - this->request.received;
  this->parts.metrics.CountRequest(this->route->name, "caller_left", took);
  LogCallerLeftUnadmitted(this->request, this->route->name, took);
}

}  // namespace

void AdmitCallerRequest(EntryParts& parts,
                        CallerRequest request,
                        std::shared_ptr<CallerExchange> exchange) {
  std::make_shared<PendingRequest>(parts, std::move(request),
                                   std::move(exchange))
      ->Start();
}

}  // namespace knapweedroad
