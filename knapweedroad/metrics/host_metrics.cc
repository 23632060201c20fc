#include "knapweedroad/metrics/host_metrics.h"

#include <chrono>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "knapweedroad/query/call_context.h"

namespace knapweedroad {
namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBucketBoundsSeconds = {
    0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05,
    0.075, 0.092, 0.125, 0.175, 0.25,   0.4,  0.6,   1.0,  2.0,  5.0};
const prometheus::Histogram::BucketBoundaries kCoverageBucketBounds = {
    0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.9999, 1.0};

}  // namespace

struct HostMetrics::Collectors {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& latency =
      prometheus::BuildHistogram()
          .Name("knapweedroad_request_seconds")
          .Help("From a request's first byte to its answer")
          .Register(this->registry);
  prometheus::Family<prometheus::Histogram>& coverage =
      prometheus::BuildHistogram()
          .Name("knapweedroad_coverage")
          .Help("Share of the index that an answer covers")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("knapweedroad_requests_total")
          .Help("Requests by front, tenant, class and status")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& attempts =
      prometheus::BuildCounter()
          .Name("knapweedroad_attempts_total")
          .Help("Attempts at targets by front and purpose")
          .Register(this->registry);
  prometheus::Family<prometheus::Counter>& decisions =
      prometheus::BuildCounter()
          .Name("knapweedroad_decisions_total")
          .Help("Decisions by kind")
          .Register(this->registry);
  prometheus::Family<prometheus::Gauge>& gauges =
      prometheus::BuildGauge()
          .Name("knapweedroad_state")
          .Help("Values that go up and down, by name")
          .Register(this->registry);
};

HostMetrics::HostMetrics() : collectors(std::make_unique<Collectors>()) {}
HostMetrics::~HostMetrics() = default;

void HostMetrics::ObserveRequest(const FrontId& front,
                                 const TenantId& tenant,
                                 std::string_view request_class,
                                 int status,
                                 Duration latency) {
  const prometheus::Labels labels = {{"front", front.str()},
                                     {"tenant", tenant.str()},
                                     {"class", std::string(request_class)}};
  prometheus::Labels with_status = labels;
  with_status["status"] = std::to_string(status);
  this->collectors->requests.Add(with_status).Increment();
  this->collectors->latency.Add(labels, kLatencyBucketBoundsSeconds)
      .Observe(std::chrono::duration<double>(latency).count());
}

void HostMetrics::ObserveCoverage(const FrontId& front,
                                  const TenantId& tenant,
                                  double coverage) {
  this->collectors->coverage
      .Add({{"front", front.str()}, {"tenant", tenant.str()}},
           kCoverageBucketBounds)
      .Observe(coverage);
}

void HostMetrics::CountAttempts(const FrontId& front,
                                const QueryRunStats& stats) {
  const auto add_attempts = [&](const char* purpose, double attempts) {
    if (attempts > 0) {
      this->collectors->attempts
          .Add({{"front", front.str()}, {"purpose", purpose}})
          .Increment(attempts);
    }
  };
  add_attempts("first", stats.first_attempts);
  add_attempts("hedge", stats.hedges);
  add_attempts("retry", stats.retries);
  add_attempts("restart", stats.restarts);
  add_attempts("wrong_snapshot", stats.wrong_snapshots);
}

void HostMetrics::SetDecisionCount(std::string_view kind, uint64_t count) {
  prometheus::Counter& counter =
      this->collectors->decisions.Add({{"kind", std::string(kind)}});
  const double increase = static_cast<double>(count) - counter.Value();
  if (increase > 0) {
    counter.Increment(increase);
  }
}

void HostMetrics::SetGauge(std::string_view name, double value) {
  this->collectors->gauges.Add({{"name", std::string(name)}}).Set(value);
}

std::string HostMetrics::PrometheusText() const {
  return prometheus::TextSerializer().Serialize(
      this->collectors->registry.Collect());
}

}  // namespace knapweedroad
