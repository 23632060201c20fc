#include "knapweedroad/load/latency_histogram.h"

#include <algorithm>
#include <cmath>

#include <boost/histogram.hpp>

namespace knapweedroad {
namespace {

namespace bh = boost::histogram;

constexpr int kBins = 1400;
constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 100'000.0;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeBins() {
  return bh::make_histogram_with(std::vector<uint64_t>(),
                                 Axis(kBins, kLowestMs, kHighestMs));
}

}  // namespace

struct LatencyHistogram::Bins {
  decltype(MakeBins()) histogram = MakeBins();
};

LatencyHistogram::LatencyHistogram() : bins(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(Duration latency) {
  const std::chrono::duration<double, std::milli> milliseconds = latency;
  this->bins->histogram(std::max(milliseconds.count(), kLowestMs));
  this->largest_ms = std::max(this->largest_ms, milliseconds.count());
  ++this->total;
}

double LatencyHistogram::QuantileMs(double quantile) const {
  if (this->total == 0) {
    return 0.0;
  }
  const auto rank = static_cast<uint64_t>(
      std::ceil(quantile * static_cast<double>(this->total)));
  const Axis& axis = this->bins->histogram.axis();
  uint64_t seen = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    seen += this->bins->histogram.at(bin);
    if (seen >= std::max<uint64_t>(rank, 1)) {
      return std::min(axis.value(bin + 1), this->largest_ms);
    }
  }
  return this->largest_ms;
}

}  // namespace knapweedroad
