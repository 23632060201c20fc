#include "knapweedroad/edge/entry_metrics.h"

#include <algorithm>
#include <chrono>
#include <sstream>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/edge/request_admission.h"

namespace knapweedroad {
namespace {

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void EntryMetrics::CountAdmission(const AdmissionResult& result) {
  if (result.outcome == AdmissionOutcome::kUnauthorized) {
    this->accounts.CountUnauthorized();
    return;
  }
  if (result.account == nullptr) {
    return;
  }
  const AccountId& account = result.account->name;
  switch (result.outcome) {
    case AdmissionOutcome::kAdmitted:
      this->accounts.Count(account, AccountOutcome::kAdmitted);
      return;
    case AdmissionOutcome::kOverQuota:
      this->accounts.Count(account, AccountOutcome::kOverQuota);
      return;
    case AdmissionOutcome::kQuotaUnknown:
      this->accounts.Count(account, AccountOutcome::kQuotaUnknown);
      return;
    case AdmissionOutcome::kUnproven:
      this->accounts.Count(account, AccountOutcome::kUnproven);
      return;
    case AdmissionOutcome::kUnauthorized:
      return;
  }
}

void EntryMetrics::CountRequest(std::string_view route,
                                std::string_view outcome,
                                Duration took) {
  if (this->latency.size() >= kMostRoutes && !this->latency.contains(route)) {
    route = "other";
  }
  ++this->requests[{std::string(route), std::string(outcome)}];
  auto found = this->latency.find(route);
  if (found == this->latency.end()) {
    found = this->latency.try_emplace(std::string(route)).first;
  }
  Histogram& histogram = found->second;
  const double ms = Milliseconds(took);
  const auto place = std::ranges::lower_bound(kBounds, ms);
  ++histogram.counts[static_cast<size_t>(place - kBounds.begin())];
  histogram.sum_ms += ms;
  ++histogram.count;
}

void EntryMetrics::CountAttempt(std::string_view outcome) {
  const auto found = this->attempts.find(outcome);
  if (found == this->attempts.end()) {
    this->attempts.emplace(outcome, 1);
    return;
  }
  ++found->second;
}

void EntryMetrics::CountExtra(bool sent) {
  ++(sent ? this->extra_sent : this->extra_refused);
}

void EntryMetrics::CountGather(size_t count) {
  ++this->gather_calls;
  this->gathered_attempts += count;
}

void EntryMetrics::SetGauge(std::string_view name, double value) {
  this->gauges.insert_or_assign(std::string(name), value);
}

std::string EntryMetrics::Print() const {
  std::ostringstream out;
  out << "# TYPE knapweedroad_requests_total counter\n";
  for (const auto& [key, count] : this->requests) {
    out << "knapweedroad_requests_total{route=\"" << key.first
        << "\",outcome=\"" << key.second << "\"} " << count << "\n";
  }
  out << "# TYPE knapweedroad_request_ms histogram\n";
  for (const auto& [route, histogram] : this->latency) {
    uint64_t below = 0;
    for (size_t i = 0; i < kBounds.size(); ++i) {
      below += histogram.counts[i];
      out << "knapweedroad_request_ms_bucket{route=\"" << route << "\",le=\""
          << kBounds[i] << "\"} " << below << "\n";
    }
    out << "knapweedroad_request_ms_bucket{route=\"" << route
        << "\",le=\"+Inf\"} " << histogram.count << "\n"
        << "knapweedroad_request_ms_sum{route=\"" << route << "\"} "
        << histogram.sum_ms << "\n"
        << "knapweedroad_request_ms_count{route=\"" << route << "\"} "
        << histogram.count << "\n";
  }
  out << "# TYPE knapweedroad_attempts_total counter\n";
  for (const auto& [outcome, count] : this->attempts) {
    out << "knapweedroad_attempts_total{outcome=\"" << outcome << "\"} "
        << count << "\n";
  }
  out << "# TYPE knapweedroad_extra_attempts_total counter\n"
      << "knapweedroad_extra_attempts_total{result=\"sent\"} "
      << this->extra_sent << "\n"
      << "knapweedroad_extra_attempts_total{result=\"over_budget\"} "
      << this->extra_refused << "\n";
  out << "# TYPE knapweedroad_gather_calls_total counter\n"
      << "knapweedroad_gather_calls_total " << this->gather_calls << "\n"
      << "# TYPE knapweedroad_gathered_attempts_total counter\n"
      << "knapweedroad_gathered_attempts_total " << this->gathered_attempts
      << "\n";
  this->accounts.Print(out);
  for (const auto& [name, value] : this->gauges) {
    out << "# TYPE knapweedroad_" << name << " gauge\n"
        << "knapweedroad_" << name << " " << value << "\n";
  }
  return std::move(out).str();
}

}  // namespace knapweedroad
