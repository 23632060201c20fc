// What a target says of itself: announcement, load report and leaving in one.
//
// Reports lag and may mislead. They are hints for every decision but two: a
// target that says it is cold or leaving is believed at once.

#ifndef KNAPWEEDROAD_TARGET_TARGET_REPORT_H_
#define KNAPWEEDROAD_TARGET_TARGET_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

enum class TargetState : uint8_t { kCold, kReady, kLeaving };

struct TargetReport {
  TargetId target;
  FrontId front;
  ServiceId service;
  ZoneId zone;
  // Where it takes requests: "IP:PORT".
  std::string address;
  // Grows with each start of the target under its name; with `sequence`, which
  // grows with each report of one incarnation, it orders reports. An older
  // report never replaces a newer one.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  TargetState state = TargetState::kCold;
  // Snapshots it can answer from, newest last.
  std::vector<SnapshotId> snapshots;
  // Its own count of requests it runs and of those that wait.
  uint32_t in_flight = 0;
  uint32_t queued = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->front, this->service, this->zone, this->address,
            this->incarnation, this->sequence, this->state, this->snapshots,
            this->in_flight, this->queued);
  }

  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TARGET_TARGET_REPORT_H_
