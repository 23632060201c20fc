// What one host measures, for Prometheus.
//
//   HostMetrics metrics;
//   metrics.ObserveRequest(front, tenant, "normal", 200, latency);
//   std::string text = metrics.PrometheusText();
//
// Latency histograms by front, tenant and class; a counter for each kind of
// decision.

#ifndef KNAPWEEDROAD_METRICS_HOST_METRICS_H_
#define KNAPWEEDROAD_METRICS_HOST_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct QueryRunStats;

class HostMetrics {
 public:
  HostMetrics();
  ~HostMetrics();

  void ObserveRequest(const FrontId& front,
                      const TenantId& tenant,
                      std::string_view request_class,
                      int status,
                      Duration latency);
  // From 0 to 1.
  void ObserveCoverage(const FrontId& front,
                       const TenantId& tenant,
                       double coverage);
  // First tries, hedges, retries and restarts of one request.
  void CountAttempts(const FrontId& front, const QueryRunStats& stats);
  // How many decisions of a kind, such as "lease_changed" or
  // "refused_overloaded", there have been since the start; never falls.
  void SetDecisionCount(std::string_view kind, uint64_t count);
  // A value that goes up and down, such as "targets_held".
  void SetGauge(std::string_view name, double value);

  // The Prometheus text format.
  std::string PrometheusText() const;

 private:
  struct Collectors;
  std::unique_ptr<Collectors> collectors;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_METRICS_HOST_METRICS_H_
