#include "knapweedroad/routing/latency_window.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {
namespace {

constexpr double kFirstBucketNanoseconds = 1e5;
constexpr double kBucketRatio = 1.1;
constexpr uint32_t kMinSamples = 20;
constexpr uint32_t kMaxSamples = 1000;

}  // namespace

void LatencyWindow::Add(Duration latency) {
  const double ratio =
      static_cast<double>(latency.count()) / kFirstBucketNanoseconds;
  const double position =
      ratio <= 1 ? 0 : std::log(ratio) / std::log(kBucketRatio);
  const size_t bucket =
      std::min(static_cast<size_t>(position), kBucketCount - 1);
  ++this->counts[bucket];
  if (++this->total < kMaxSamples) {
    return;
  }
  this->total = 0;
  for (uint16_t& count : this->counts) {
    count /= 2;
    this->total += count;
  }
}

std::optional<Duration> LatencyWindow::Quantile(double quantile) const {
  if (this->total < kMinSamples) {
    return std::nullopt;
  }
  const double rank = quantile * this->total;
  double cumulative = 0;
  size_t bucket = 0;
  while (bucket + 1 < kBucketCount &&
         cumulative + this->counts[bucket] < rank) {
    cumulative += this->counts[bucket];
    ++bucket;
  }
  const double nanoseconds =
      kFirstBucketNanoseconds *
      std::pow(kBucketRatio, static_cast<double>(bucket + 1));
  return Duration(static_cast<int64_t>(nanoseconds));
}

}  // namespace knapweedroad
