#include "knapweedroad/query/latency_tracker.h"

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
constexpr int kBucketCount = 317;
// With fewer samples above it a quantile is unreliable.
constexpr double kMinSamplesAbove = 10.0;
constexpr double kMinSamples = 20.0;

const Axis& LogAxis() {
  static const Axis axis(kBucketCount, kLowestSeconds, kHighestSeconds);
  return axis;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

DecayingHistogram::DecayingHistogram(double window)
    : window(window), weights(kBucketCount, 0.0) {}

void DecayingHistogram::Record(Duration latency) {
  const double seconds = std::max(Seconds(latency), kLowestSeconds);
  const int bucket = std::clamp(LogAxis().index(seconds), 0, kBucketCount - 1);
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
  const bool too_few = this->total < kMinSamples ||
                       this->total * (1.0 - quantile) < kMinSamplesAbove;
  if (too_few) {
    return std::nullopt;
  }
  double below = 0.0;
  int bucket = 0;
  for (; bucket < kBucketCount - 1; ++bucket) {
    below += this->weights[static_cast<size_t>(bucket)];
    if (below >= quantile * this->total) {
      break;
    }
  }
  const std::chrono::duration<double> edge(LogAxis().bin(bucket).upper());
  return std::chrono::duration_cast<Duration>(edge);
}

LatencyTracker::LatencyTracker(double window)
    : window(window), all_services(window) {}

void LatencyTracker::Record(const ServiceId& service,
                            const ZoneId& zone,
                            Duration latency) {
  this->all_services.Record(latency);
  auto service_entry = this->by_service.try_emplace(
      service, ServiceLatencies{DecayingHistogram(this->window), {}});
  service_entry.first->second.all_zones.Record(latency);
  auto zone_entry = service_entry.first->second.by_zone.try_emplace(
      zone, DecayingHistogram(this->window));
  zone_entry.first->second.Record(latency);
}

std::optional<Duration> LatencyTracker::Quantile(const ServiceId& service,
                                                 const ZoneId& zone,
                                                 double quantile) const {
  const auto service_entry = this->by_service.find(service);
  if (service_entry == this->by_service.end()) {
    return this->all_services.Quantile(quantile);
  }
  const auto zone_entry = service_entry->second.by_zone.find(zone);
  if (zone_entry != service_entry->second.by_zone.end()) {
    if (auto latency = zone_entry->second.Quantile(quantile)) {
      return latency;
    }
  }
  const auto latency = service_entry->second.all_zones.Quantile(quantile);
  return latency ? latency : this->all_services.Quantile(quantile);
}

}  // namespace knapweedroad
