// The report that a target sends about itself: it announces the target, states
// its load and says when the target is leaving.
//
// Reports lag and may be wrong, so they are only hints. The exceptions are the
// states kCold and kLeaving, which take effect as soon as they are received.

#ifndef KNAPWEEDROAD_TARGET_TARGET_REPORT_H_
#define KNAPWEEDROAD_TARGET_TARGET_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

// The state of a target. A cold target bears less load than a ready one, and a
// leaving target must get no new work. The numbers are part of the wire format.
enum class TargetState : uint8_t { kCold, kReady, kLeaving };

struct TargetReport {
  TargetId target;
  FrontId front;
  ServiceId service;
  ZoneId zone;
  // The address on which the target accepts requests, as "IP:PORT".
  std::string address;
  // `incarnation` increases with each start of the target under the same id,
  // and `sequence` with each report of one incarnation. Reports are ordered by
  // (incarnation, sequence). An older report never replaces a newer one.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  TargetState state = TargetState::kCold;
  // Snapshots that the target can answer from, newest last.
  std::vector<SnapshotId> snapshots;
  // Requests that run on the target and that wait there, as counted by the
  // target.
  uint32_t in_flight = 0;
  uint32_t queued = 0;

  // Serializes for cereal. The order of the fields is the wire format.
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
