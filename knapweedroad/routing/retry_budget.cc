#include "knapweedroad/routing/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {
namespace {

// This host's part is taken a little short: hosts hear of each other late, and
// an attempt arrives later than it is counted here.
constexpr double kRatioMargin = 0.93;
constexpr double kSlackMargin = 0.9;
// Parts of the slack: one for each of two starts within a window, and the rest.
constexpr double kSlackAfterStart = 0.1;
constexpr double kSlackLater = 1 - 2 * kSlackAfterStart;
// What hedges leave to retries, as shares of the allowance: for the first
// failures of an outlier, and however many there are.
constexpr double kLeastReserve = 0.1;
constexpr double kMostReserve = 0.5;
// The sum of all hosts' roundings may pass its mean: so many of its standard
// deviations are kept free. That of one host is a half at the most.
constexpr double kDeviationsKept = 3;
constexpr double kDeviationOfOne = 0.5;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetLimits limits,
                         TimePoint started,
                         double rounding)
    : limits(limits),
      rounding(rounding),
      slack_from(started.time_since_epoch() / this->SliceLength() +
                 int64_t{kSlices}) {}

Duration RetryBudget::SliceLength() const {
  return this->limits.window / (kSlices - 1);
}

void RetryBudget::Advance(TimePoint now) {
  const Duration slice = this->SliceLength();
  const int64_t current = now.time_since_epoch() / slice;
  const int64_t steps =
      std::min<int64_t>(current - this->newest, int64_t{kSlices});
  for (int64_t i = 0; i < steps; ++i) {
    Slice& oldest = this->slices[(this->newest + 1 + i) % kSlices];
    this->requests -= oldest.requests;
    this->retries -= oldest.retries;
    this->hedges -= oldest.hedges;
    oldest = {};
  }
  this->newest = std::max(this->newest, current);
}

// A host that restarts has forgotten what it spent. It has one part of the
// slack for the first window after a start and another for later, so that two
// starts within a window keep to the bound, and hosts that all start at once
// can still retry.
double RetryBudget::Allowance(size_t hosts) const {
  const bool has_just_started = this->newest < this->slack_from;
  const double slack = this->limits.slack * kSlackMargin *
                       (has_just_started ? kSlackAfterStart : kSlackLater);
  return this->requests * this->limits.ratio * kRatioMargin +
         slack / static_cast<double>(std::max<size_t>(hosts, 1));
}

void RetryBudget::OnRequest(TimePoint now) {
  this->Advance(now);
  ++this->slices[this->newest % kSlices].requests;
  ++this->requests;
}

bool RetryBudget::IsWithin(double part, size_t hosts) const {
  const double used = this->extra();
  if (used + 1 <= part) {
    return true;
  }
  const double kept =
      kDeviationsKept * kDeviationOfOne /
      std::sqrt(static_cast<double>(std::max<size_t>(hosts, 1)));
  return used + this->rounding <= part - kept;
}

bool RetryBudget::SpendRetry(size_t hosts, TimePoint now) {
  this->Advance(now);
  if (!this->IsWithin(this->Allowance(hosts), hosts)) {
    return false;
  }
  ++this->slices[this->newest % kSlices].retries;
  ++this->retries;
  return true;
}

bool RetryBudget::SpendHedge(size_t hosts, TimePoint now) {
  this->Advance(now);
  const double allowance = this->Allowance(hosts);
  const double reserved = std::clamp<double>(
      this->retries, allowance * kLeastReserve, allowance * kMostReserve);
  if (!this->IsWithin(allowance - reserved, hosts)) {
    return false;
  }
  ++this->slices[this->newest % kSlices].hedges;
  ++this->hedges;
  return true;
}

}  // namespace knapweedroad
