#include "knapweedroad/routing/extra_budget.h"

#include <algorithm>

namespace knapweedroad {
namespace {

// This host's part is taken a little short: hosts hear of each other late, and
// an attempt arrives later than it is counted here.
constexpr double kRatioMargin = 0.85;
constexpr double kSlackMargin = 0.75;

}  // namespace

void ExtraBudget::Advance(TimePoint now) {
  const Duration slice = this->limits.window / (kSlices - 1);
  const int64_t current = now.time_since_epoch() / slice;
  const int64_t steps =
      std::min<int64_t>(current - this->newest, int64_t{kSlices});
  for (int64_t i = 0; i < steps; ++i) {
    Slice& oldest = this->slices[(this->newest + 1 + i) % kSlices];
    this->requests -= oldest.requests;
    this->extra -= oldest.extra;
    oldest = {};
  }
  this->newest = std::max(this->newest, current);
}

double ExtraBudget::Allowance(size_t hosts) const {
  const double shared = this->limits.slack * kSlackMargin /
                        static_cast<double>(std::max<size_t>(hosts, 1));
  return this->requests * this->limits.ratio * kRatioMargin + shared;
}

void ExtraBudget::OnRequest(TimePoint now) {
  this->Advance(now);
  ++this->slices[this->newest % kSlices].requests;
  ++this->requests;
}

bool ExtraBudget::CanSpend(size_t hosts, double reserved_share, TimePoint now) {
  this->Advance(now);
  return this->extra + 1 <= this->Allowance(hosts) * (1 - reserved_share);
}

bool ExtraBudget::Spend(size_t hosts, TimePoint now) {
  if (!this->CanSpend(hosts, 0, now)) {
    return false;
  }
  ++this->slices[this->newest % kSlices].extra;
  ++this->extra;
  return true;
}

}  // namespace knapweedroad
