#include "knapweedroad/query/latency_book.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>

namespace knapweedroad {
namespace {

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

// 20 microseconds to 100 seconds in steps of 5%.
constexpr double kLowestSeconds = 20e-6;
constexpr double kHighestSeconds = 100.0;
constexpr int kBuckets = 317;
// A quantile q needs that many samples above it to be worth anything.
constexpr double kTailSamples = 10.0;
constexpr double kFewestSamples = 20.0;

const Axis& LogAxis() {
  static const Axis axis(kBuckets, kLowestSeconds, kHighestSeconds);
  return axis;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

DecayingHistogram::DecayingHistogram(double window)
    : window(window), weights(kBuckets, 0.0) {}

void DecayingHistogram::Record(Duration latency) {
  const double seconds = std::max(Seconds(latency), kLowestSeconds);
  const int bucket = std::clamp(LogAxis().index(seconds), 0, kBuckets - 1);
  this->weights[static_cast<size_t>(bucket)] += 1.0;
  this->total += 1.0;
  if (this->total < this->window) {
    return;
  }
  for (double& weight : this->weights) {
    weight /= 2;
  }
  this->total /= 2;
}

std::optional<Duration> DecayingHistogram::Quantile(double quantile) const {
  const bool too_few = this->total < kFewestSamples ||
                       this->total * (1.0 - quantile) < kTailSamples;
  if (too_few) {
    return std::nullopt;
  }
  double below = 0.0;
  int bucket = 0;
  for (; bucket < kBuckets - 1; ++bucket) {
    below += this->weights[static_cast<size_t>(bucket)];
    if (below >= quantile * this->total) {
      break;
    }
  }
  const std::chrono::duration<double> edge(LogAxis().bin(bucket).upper());
  return std::chrono::duration_cast<Duration>(edge);
}

LatencyBook::LatencyBook(double window) : window(window), front(window) {}

void LatencyBook::Record(const ServiceId& service,
                         const ZoneId& zone,
                         Duration latency) {
  this->front.Record(latency);
  auto entry = this->entries.try_emplace(
      service, Entry{DecayingHistogram(this->window), {}});
  entry.first->second.all.Record(latency);
  auto in_zone = entry.first->second.zones.try_emplace(
      zone, DecayingHistogram(this->window));
  in_zone.first->second.Record(latency);
}

std::optional<Duration> LatencyBook::Quantile(const ServiceId& service,
                                              const ZoneId& zone,
                                              double quantile) const {
  const auto entry = this->entries.find(service);
  if (entry == this->entries.end()) {
    return this->front.Quantile(quantile);
  }
  const auto in_zone = entry->second.zones.find(zone);
  if (in_zone != entry->second.zones.end()) {
    if (auto latency = in_zone->second.Quantile(quantile)) {
      return latency;
    }
  }
  const auto latency = entry->second.all.Quantile(quantile);
  return latency ? latency : this->front.Quantile(quantile);
}

}  // namespace knapweedroad
