// Outcomes of requests to targets, which entry hosts share through the control
// hosts that they follow. Entry hosts send outcomes with each watch call, and
// between calls after a failure; replies carry the list of outliers. The
// control hosts of a zone forward the reports to each other.

#ifndef KNAPWEEDROAD_REGISTRY_TARGET_OUTCOMES_H_
#define KNAPWEEDROAD_REGISTRY_TARGET_OUTCOMES_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

enum class FollowerRole : uint8_t { kEntry = 1, kControl = 2 };

// Outcomes of one host's attempts at one target since its last report.
struct TargetOutcomes {
  TargetId target;
  // The number of answered attempts, and of attempts that failed or were
  // refused.
  uint32_t answered = 0;
  uint32_t failed = 0;
  // The number of attempts whose latency was measured, including those
  // abandoned late, and the sum of their latencies in microseconds.
  uint32_t timed = 0;
  uint64_t latency_us = 0;

  friend bool operator==(const TargetOutcomes&,
                         const TargetOutcomes&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->answered, this->failed, this->timed,
            this->latency_us);
  }
};

// A report sent between two watch calls.
struct OutcomeReport {
  FollowerRole role = FollowerRole::kEntry;
  std::vector<TargetOutcomes> outcomes;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->role, this->outcomes);
  }
};

// A target that performs worse than the others of its service, as sent to entry
// hosts. The values are coarse, so that the list changes rarely.
struct TargetOutlier {
  // The number of `failed` units that equals all attempts.
  static constexpr uint8_t kFailedUnits = 8;

  TargetId target;
  // The share of attempts that fail or are refused, in eighths.
  uint8_t failed = 0;
  // The ratio of its latency to that of the best target of the service,
  // rounded; 1 means normal.
  uint8_t slowdown = 1;

  friend bool operator==(const TargetOutlier&, const TargetOutlier&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->failed, this->slowdown);
  }
};

inline const TargetId& KeyOf(const TargetOutlier& outlier) {
  return outlier.target;
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_TARGET_OUTCOMES_H_
