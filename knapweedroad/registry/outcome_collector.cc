#include "knapweedroad/registry/outcome_collector.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace knapweedroad {
namespace {

// Between two judgements: at the least, and for each target, so that judging
// many targets takes a small part of a processor.
constexpr Duration kJudgeSpacing = std::chrono::milliseconds(50);
constexpr Duration kJudgeSpacingATarget = std::chrono::microseconds(30);
// Targets whose outcomes are passed on in one report.
constexpr size_t kMostPassedOn = 1000;

}  // namespace

OutcomeCollector::OutcomeCollector()
    : recorder({.most_reported = kMostPassedOn,
                .enough_alone = std::numeric_limits<uint32_t>::max()}) {}

// What another control host has passed on isn't passed on again.
void OutcomeCollector::Add(const OutcomeReport& report, TimePoint now) {
  this->outlier_detector.Add(report.outcomes, now);
  if (report.role != FollowerRole::kEntry) {
    return;
  }
  for (const TargetOutcomes& seen : report.outcomes) {
    this->recorder.Count(seen);
  }
}

TimePoint OutcomeCollector::AddUrgent(const OutcomeReport& report,
                                      TimePoint now) {
  this->Add(report, now);
  const auto targets = static_cast<int64_t>(this->outlier_detector.size());
  return std::max(
      now, this->judged + std::max<Duration>(kJudgeSpacing,
                                             kJudgeSpacingATarget * targets));
}

bool OutcomeCollector::Judge(const OutlierDetector::ServiceOf& service_of,
                             TimePoint now) {
  this->judged = now;
  return this->outlier_detector.Refresh(service_of, now);
}

std::vector<TargetOutcomes> OutcomeCollector::TakeFor(
    const HostId& control_host,
    TimePoint now) {
  return this->recorder.Take(control_host, now);
}

}  // namespace knapweedroad
