// Chooses the snapshot that a query is pinned to.
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

// The order of preference among snapshots: the newest that has sufficient
// coverage and enough holders (targets that hold it), else the newest that has
// sufficient coverage, else the one with the greatest coverage, the newest of
// equals.
struct SnapshotPolicy {
  // The share of the index (0 to 1) that the holders must cover. At 1, a
  // complete answer from an older snapshot is preferred to a partial one from a
  // newer.
  double sufficient_coverage = 1.0;
  // The share (0 to 1) of each service's warm targets that must hold the
  // snapshot. Without this minimum, the first targets that get a new index
  // version would receive the load of all.
  double min_holder_share = 0.5;
};

struct SnapshotChoice {
  SnapshotId snapshot;
  // The coverage of the answer if every service with a holder replies in full.
  Coverage reachable;
};

using CandidatesByService = std::map<ServiceId, std::vector<TargetCandidate>>;

// Returns the preferred snapshot of the generations in `front`, considering
// only those newer than `newer_than` if it is given. Returns nullopt if no
// usable target holds such a snapshot.
std::optional<SnapshotChoice> ChooseSnapshot(
    const FrontConfig& front,
    const CandidatesByService& candidates,
    const SnapshotPolicy& policy,
    std::optional<SnapshotId> newer_than = std::nullopt);

// Returns the manifest of that generation, or null if `front` has none.
const GenerationConfig* FindGeneration(const FrontConfig& front,
                                       uint32_t number);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_SNAPSHOT_CHOICE_H_
