// What entry hosts see of targets, shared through the control hosts that they
// follow: outcomes go up with each watch call, and between two of them when
// something goes wrong; outliers come down with the reply. The control hosts of
// a zone pass on to each other what they hear.

#ifndef KNAPWEEDROAD_REGISTRY_TARGET_OUTCOMES_H_
#define KNAPWEEDROAD_REGISTRY_TARGET_OUTCOMES_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

enum class FollowerRole : uint8_t { kEntry = 1, kControl = 2 };

// Outcomes of one host's attempts on one target since its last report.
struct TargetOutcomes {
  TargetId target;
  // Attempts that were answered, and all that failed or were refused.
  uint32_t answered = 0;
  uint32_t failed = 0;
  // Attempts whose latency is known, those given up late among them, and the
  // sum of their latencies in microseconds.
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

// Outcomes that can't wait for the next watch call.
struct OutcomeReport {
  FollowerRole role = FollowerRole::kEntry;
  std::vector<TargetOutcomes> outcomes;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->role, this->outcomes);
  }
};

// A target that does worse than the others of its service, as told to entry
// hosts. Coarse figures, so that the list changes seldom.
struct TargetOutlier {
  // Units of `failed` in a whole.
  static constexpr uint8_t kFailedUnits = 8;

  TargetId target;
  // Share of attempts that fail or are refused, in eighths.
  uint8_t failed = 0;
  // Latency over the service's best target's, whole; 1: as usual.
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
