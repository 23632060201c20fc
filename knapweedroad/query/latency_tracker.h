// Latency quantiles per service and zone of the target.
//
//   LatencyTracker tracker;
//   tracker.Record(service, zone, 12ms);
//   std::optional<Duration> slow = tracker.Quantile(service, zone, 0.95);

#ifndef KNAPWEEDROAD_QUERY_LATENCY_TRACKER_H_
#define KNAPWEEDROAD_QUERY_LATENCY_TRACKER_H_

#include <map>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// A histogram of latencies in logarithmic buckets, in which recent samples
// weigh more: whenever the total weight reaches `window`, all weights are
// halved.
class DecayingHistogram {
 public:
  explicit DecayingHistogram(double window);

  void Record(Duration latency);

  // Returns the upper edge of the bucket that holds this quantile (0 to 1): at
  // most 5% above the true value for latencies from 20 microseconds to 100
  // seconds. Returns nullopt while the total weight is below 20 samples, or the
  // weight above the quantile is below 10.
  std::optional<Duration> Quantile(double quantile) const;

 private:
  double window;
  double total = 0.0;
  std::vector<double> weights;
};

// Records latencies and returns their quantiles, from the most specific group
// of targets that has enough samples.
class LatencyTracker {
 public:
  // The maximum total weight of each histogram, which then reflects about this
  // many recent requests.
  static constexpr double kDefaultWindow = 2000.0;

  explicit LatencyTracker(double window = kDefaultWindow);

  void Record(const ServiceId& service, const ZoneId& zone, Duration latency);

  // Returns the quantile (0 to 1) of the service's latencies in that zone. With
  // too few samples there, returns that of the service in all zones, then that
  // of all services, and then nullopt.
  std::optional<Duration> Quantile(const ServiceId& service,
                                   const ZoneId& zone,
                                   double quantile) const;

 private:
  struct ServiceLatencies {
    DecayingHistogram all_zones;
    std::map<ZoneId, DecayingHistogram> by_zone;
  };

  double window;
  DecayingHistogram all_services;
  std::map<ServiceId, ServiceLatencies> by_service;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_LATENCY_TRACKER_H_
