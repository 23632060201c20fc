#include "knapweedroad/registry/outcome_collector.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace knapweedroad {
namespace {

// The minimum interval between two evaluations, in total and per target, so
// that evaluating many targets uses a small part of a processor.
constexpr Duration kMinEvaluationInterval = std::chrono::milliseconds(50);
constexpr Duration kEvaluationIntervalPerTarget = std::chrono::microseconds(30);
// The maximum number of targets in one forwarded report.
constexpr size_t kMaxForwardedTargets = 1000;

}  // namespace

OutcomeCollector::OutcomeCollector()
    : recorder(
          {.max_reported_targets = kMaxForwardedTargets,
           .max_attempts_per_target = std::numeric_limits<uint32_t>::max()}) {}

// A report that another control host forwarded is not forwarded again.
void OutcomeCollector::Add(const OutcomeReport& report, TimePoint now) {
  this->outlier_detector.Add(report.outcomes, now);
  if (report.role != FollowerRole::kEntry) {
    return;
  }
  for (const TargetOutcomes& outcomes : report.outcomes) {
    this->recorder.Count(outcomes);
  }
}

TimePoint OutcomeCollector::AddUrgent(const OutcomeReport& report,
                                      TimePoint now) {
  this->Add(report, now);
  const auto targets = static_cast<int64_t>(this->outlier_detector.size());
  return std::max(
      now, this->last_evaluation +
               std::max<Duration>(kMinEvaluationInterval,
                                  kEvaluationIntervalPerTarget * targets));
}

bool OutcomeCollector::Evaluate(const OutlierDetector::ServiceOf& service_of,
                                TimePoint now) {
  this->last_evaluation = now;
  return this->outlier_detector.Refresh(service_of, now);
}

std::vector<TargetOutcomes> OutcomeCollector::TakeUnforwarded(
    const HostId& control_host,
    TimePoint now) {
  return this->recorder.Take(control_host, now);
}

}  // namespace knapweedroad
