// The Prometheus metrics of one host.
//
//   HostMetrics metrics;
//   metrics.ObserveRequest(front, tenant, "normal", 200, latency);
//   std::string text = metrics.PrometheusText();
//
// Requests have a latency histogram by front, tenant and class, and a counter
// by these and the status. Each kind of decision has a counter.

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

  // Records one answered request: its HTTP status, and its latency from the
  // first byte of the request to the answer.
  void ObserveRequest(const FrontId& front,
                      const TenantId& tenant,
                      std::string_view request_class,
                      int status,
                      Duration latency);
  // Records the share of the index that an answer covers, from 0 to 1.
  void ObserveCoverage(const FrontId& front,
                       const TenantId& tenant,
                       double coverage);
  // Adds the first attempts, hedges, retries, restarts and wrong-snapshot
  // replies of one request to the counters of its front.
  void CountAttempts(const FrontId& front, const QueryRunStats& stats);
  // Sets the number of decisions of a kind, such as "lease_changed" or
  // "refused_overloaded", since the host started. The counter never decreases:
  // a lower `count` is ignored.
  void SetDecisionCount(std::string_view kind, uint64_t count);
  // Sets a value that may rise and fall, such as "targets_held".
  void SetGauge(std::string_view name, double value);

  // Returns all metrics in the Prometheus text format.
  std::string PrometheusText() const;

 private:
  struct Collectors;
  std::unique_ptr<Collectors> collectors;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_METRICS_HOST_METRICS_H_
