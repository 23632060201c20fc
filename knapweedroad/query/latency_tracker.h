// Measured latencies of each service, by the zone of the target that answered.
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

// A histogram on a logarithmic axis that forgets: when it holds `window`
// samples, the weight of each is halved.
class DecayingHistogram {
 public:
  explicit DecayingHistogram(double window);

  void Record(Duration latency);

  // The upper edge of the bucket that holds this quantile (0 to 1), at most 5%
  // above the true value. Nothing while there are too few samples to tell.
  std::optional<Duration> Quantile(double quantile) const;

 private:
  double window;
  double total = 0.0;
  std::vector<double> weights;
};

class LatencyTracker {
 public:
  // Samples of about this many last requests count.
  static constexpr double kDefaultWindow = 2000.0;

  explicit LatencyTracker(double window = kDefaultWindow);

  void Record(const ServiceId& service, const ZoneId& zone, Duration latency);

  // The quantile of the service's targets in that zone; while too few of them
  // have answered, of all of its targets; while these are too few, of all
  // services. Nothing while even these are too few.
  std::optional<Duration> Quantile(const ServiceId& service,
                                   const ZoneId& zone,
                                   double quantile) const;

 private:
  struct ServiceLatencies {
    DecayingHistogram all_zones;
    std::map<ZoneId, DecayingHistogram> by_zone;
  };

  double window;
  // Of all services.
  DecayingHistogram all_services;
  std::map<ServiceId, ServiceLatencies> by_service;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_LATENCY_TRACKER_H_
