// A target as a coordinator sees it when it chooses whom to ask.
//
//   std::vector<TargetCandidate> candidates = directory.Candidates(service);

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
  // Snapshots it said it can answer from.
  std::vector<SnapshotId> snapshots;
  // Requests that run on it and that wait for it, as far as this host knows.
  // Both lag.
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  // False for one that may get no new work: unheard, its zone out, leaving.
  bool usable = true;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TARGET_TARGET_CANDIDATE_H_
