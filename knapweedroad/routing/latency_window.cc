#include "knapweedroad/routing/latency_window.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {
namespace {

constexpr double kFirstNanoseconds = 1e5;
constexpr double kStep = 1.1;
constexpr uint32_t kMinCount = 20;
constexpr uint32_t kMaxCount = 1000;

}  // namespace

void LatencyWindow::Add(Duration latency) {
  const double ratio = static_cast<double>(latency.count()) / kFirstNanoseconds;
  const double place = ratio <= 1 ? 0 : std::log(ratio) / std::log(kStep);
  const size_t bucket = std::min(static_cast<size_t>(place), kBuckets - 1);
  ++this->counts[bucket];
  if (++this->total < kMaxCount) {
    return;
  }
  this->total = 0;
  for (uint16_t& count : this->counts) {
    count /= 2;
    this->total += count;
  }
}

std::optional<Duration> LatencyWindow::Quantile(double quantile) const {
  if (this->total < kMinCount) {
    return std::nullopt;
  }
  const double wanted = quantile * this->total;
  double seen = 0;
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && seen + this->counts[bucket] < wanted) {
    seen += this->counts[bucket];
    ++bucket;
  }
  const double nanoseconds =
      kFirstNanoseconds * std::pow(kStep, static_cast<double>(bucket + 1));
  return Duration(static_cast<int64_t>(nanoseconds));
}

}  // namespace knapweedroad
