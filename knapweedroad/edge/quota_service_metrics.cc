// The metrics page of a control host's quotas.

#include <chrono>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include "knapweedroad/edge/quota_service.h"

namespace knapweedroad {
namespace {

class Page {
 public:
  template <typename Value>
  Page& Add(std::string_view name,
            std::string_view type,
            const Value& value,
            std::string_view labels = "") {
    this->out << "# TYPE knapweedroad_control_quota_" << name << " " << type
              << "\nknapweedroad_control_quota_" << name << labels << " "
              << value << "\n";
    return *this;
  }
  std::string Take() { return std::move(this->out).str(); }

 private:
  std::ostringstream out;
};

}  // namespace

int64_t QuotaService::ConfirmationAgeMs() const {
  const std::optional<Duration> age =
      this->leadership.ConfirmationAge(this->options.boot_now());
  return age ? std::chrono::floor<std::chrono::milliseconds>(*age).count() : -1;
}

std::string QuotaService::PrintMetrics() const {
  const BootTime now = this->options.boot_now();
  const QuotaServiceCounts& counts = this->totals;
  const QuotaLeaderRecord& named = this->leadership.named();
  const std::string host =
      "{host=\"" + (named.host.empty() ? "none" : named.host.str()) + "\"}";
  return Page()
      .Add("permits_admitted_total", "counter", counts.admitted)
      .Add("permits_over_quota_total", "counter", counts.over_quota)
      .Add("permits_unknown_total", "counter", counts.unknown)
      .Add("permits_returned_total", "counter", counts.returned)
      .Add("permit_call_ms_sum", "counter",
           std::chrono::duration<double, std::milli>(counts.permit_call_time)
               .count())
      .Add("permit_call_ms_count", "counter", counts.permit_calls)
      .Add("refill_calls_total", "counter", counts.refill_calls)
      .Add("refill_calls_failed_total", "counter", counts.refill_calls_failed)
      .Add("refill_calls_forwarded_total", "counter",
           counts.refill_calls_forwarded)
      .Add("elections_total", "counter", counts.elections)
      .Add("leader_changes_total", "counter", counts.leader_changes)
      .Add("leader_term", "gauge", named.term, host)
      .Add("lease_held", "gauge", this->leadership.IsLeaseHeld(now) ? 1 : 0)
      .Add("confirmation_age_ms", "gauge", this->ConfirmationAgeMs())
      .Add("tokens_held", "gauge", this->HeldTokens())
      .Add("tokens_outstanding", "gauge",
           this->leadership.OutstandingTokens(now))
      .Add("accounts_limited", "gauge", this->leadership.accounts().size())
      .Take();
}

}  // namespace knapweedroad
