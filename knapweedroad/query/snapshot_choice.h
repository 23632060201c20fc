// Which snapshot a query is pinned to.
//
//   auto choice = ChooseSnapshot(front, candidates, {});
//   if (!choice) Refuse("no target");

#ifndef KNAPWEEDROAD_QUERY_SNAPSHOT_CHOICE_H_
#define KNAPWEEDROAD_QUERY_SNAPSHOT_CHOICE_H_

#include <map>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/coverage.h"
#include "knapweedroad/target/target_candidate.h"

namespace knapweedroad {

// A query takes the newest snapshot that can be had with enough coverage,
// from enough replicas; where there is none, the newest with enough coverage;
// where there is none, the one with the most coverage, the newest of equals.
struct SnapshotPolicy {
  // Coverage (0 to 1) that is enough to take a newer snapshot. At 1 a whole
  // answer of an older snapshot goes before a partial one of a newer.
  double sufficient_coverage = 1.0;
  // Share of each service's warm targets that must hold it. While a version
  // rolls out, its first holders would otherwise get all of the load.
  double min_holder_share = 0.5;
};

struct SnapshotChoice {
  SnapshotId snapshot;
  // What could be answered if every service with a target did.
  Coverage reachable;
};

using CandidatesByService = std::map<ServiceId, std::vector<TargetCandidate>>;

// Only snapshots of a generation in `front`, newer than `newer_than` if given.
std::optional<SnapshotChoice> ChooseSnapshot(
    const FrontConfig& front,
    const CandidatesByService& candidates,
    const SnapshotPolicy& policy,
    std::optional<SnapshotId> newer_than = std::nullopt);

// The manifest of that generation; null if `front` has none.
const GenerationConfig* FindGeneration(const FrontConfig& front,
                                       uint32_t number);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_SNAPSHOT_CHOICE_H_
