#include "knapweedroad/routing/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {
namespace {

// Factors that make this host's share slightly smaller: hosts learn of each
// other with a delay, and an attempt arrives later than it is counted here.
constexpr double kRatioFactor = 0.93;
constexpr double kSlackFactor = 0.9;
// Shares of the slack: one for each of two starts within a window, and the
// remainder.
constexpr double kStartSlackShare = 0.1;
constexpr double kSteadySlackShare = 1 - 2 * kStartSlackShare;
// What hedges leave to retries, as shares of the allowance. The smallest is for
// the first failures of an outlier; the largest holds for any number of
// failures.
constexpr double kMinRetryReserve = 0.1;
constexpr double kMaxRetryReserve = 0.5;
// The sum of all hosts' rounding may exceed its mean, so this many of its
// standard deviations stay unused.
constexpr double kReservedDeviations = 3;
// The largest standard deviation of one host's rounding, in attempts.
constexpr double kMaxRoundingDeviation = 0.5;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetLimits limits,
                         TimePoint started_at,
                         double rounding_threshold)
    : limits(limits),
      rounding_threshold(rounding_threshold),
      steady_from_slice(started_at.time_since_epoch() / this->SliceLength() +
                        int64_t{kSliceCount}) {}

Duration RetryBudget::SliceLength() const {
  return this->limits.window / (kSliceCount - 1);
}

void RetryBudget::Advance(TimePoint now) {
  const Duration slice = this->SliceLength();
  const int64_t current = now.time_since_epoch() / slice;
  const int64_t elapsed_slices =
      std::min<int64_t>(current - this->newest_slice, int64_t{kSliceCount});
  for (int64_t i = 0; i < elapsed_slices; ++i) {
    Slice& oldest = this->slices[(this->newest_slice + 1 + i) % kSliceCount];
    this->requests -= oldest.requests;
    this->retries -= oldest.retries;
    this->hedges -= oldest.hedges;
    oldest = {};
  }
  this->newest_slice = std::max(this->newest_slice, current);
}

// A restarted host has lost its counts. It uses a small share of the slack in
// the first window after a start and a separate one later. Two starts within a
// window thus keep to the bound, and hosts that all start at once can still
// retry.
double RetryBudget::Allowance(size_t host_count) const {
  const bool is_starting = this->newest_slice < this->steady_from_slice;
  const double slack = this->limits.slack * kSlackFactor *
                       (is_starting ? kStartSlackShare : kSteadySlackShare);
  return this->requests * this->limits.ratio * kRatioFactor +
         slack / static_cast<double>(std::max<size_t>(host_count, 1));
}

void RetryBudget::OnRequest(TimePoint now) {
  this->Advance(now);
  ++this->slices[this->newest_slice % kSliceCount].requests;
  ++this->requests;
}

bool RetryBudget::FitsOneMore(double allowance, size_t host_count) const {
  const double used = this->extra_attempts();
  if (used + 1 <= allowance) {
    return true;
  }
  const double rounding_reserve =
      kReservedDeviations * kMaxRoundingDeviation /
      std::sqrt(static_cast<double>(std::max<size_t>(host_count, 1)));
  return used + this->rounding_threshold <= allowance - rounding_reserve;
}

bool RetryBudget::SpendRetry(size_t host_count, TimePoint now) {
  this->Advance(now);
  if (!this->FitsOneMore(this->Allowance(host_count), host_count)) {
    return false;
  }
  ++this->slices[this->newest_slice % kSliceCount].retries;
  ++this->retries;
  return true;
}

bool RetryBudget::SpendHedge(size_t host_count, TimePoint now) {
  this->Advance(now);
  const double allowance = this->Allowance(host_count);
  const double retry_reserve =
      std::clamp<double>(this->retries, allowance * kMinRetryReserve,
                         allowance * kMaxRetryReserve);
  if (!this->FitsOneMore(allowance - retry_reserve, host_count)) {
    return false;
  }
  ++this->slices[this->newest_slice % kSliceCount].hedges;
  ++this->hedges;
  return true;
}

}  // namespace knapweedroad
