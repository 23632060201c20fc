// The state of a target that a coordinator uses to choose where to send a
// request.
//
//   std::vector<TargetCandidate> candidates =
//       directory.Candidates(front, service, now);

#ifndef KNAPWEEDROAD_TARGET_TARGET_CANDIDATE_H_
#define KNAPWEEDROAD_TARGET_TARGET_CANDIDATE_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

struct TargetCandidate {
  TargetId target;
  ZoneId zone;
  TargetState state = TargetState::kReady;
  // Snapshots that the target can answer from, according to its last report.
  std::vector<SnapshotId> snapshots;
  // Requests that run on the target and that wait there, according to its last
  // report. Both values lag behind the target's actual load.
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  // False if the target must get no new work: its last report is stale, its
  // zone is out of service, or it is leaving.
  bool usable = true;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TARGET_TARGET_CANDIDATE_H_
