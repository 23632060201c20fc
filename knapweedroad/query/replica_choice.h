// Chooses the target of a service that an attempt is sent to.
//
//   auto choice = ChooseReplica(candidates, {.own_zone = zone,
//                                            .snapshot = pinned,
//                                            .slots = 2,
//                                            .random = random});
//   if (choice) Send(choice->target);

#ifndef KNAPWEEDROAD_QUERY_REPLICA_CHOICE_H_
#define KNAPWEEDROAD_QUERY_REPLICA_CHOICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/target/target_candidate.h"

namespace knapweedroad {

struct ReplicaChoiceOptions {
  // The zone of this host.
  const ZoneId& own_zone;
  // If set, only targets that hold this snapshot are chosen.
  std::optional<SnapshotId> snapshot;
  // Targets that must not be chosen, such as those tried before.
  std::span<const TargetId> excluded;
  // The number of requests that one target of the service runs concurrently:
  // `cold_slots` while its state is kCold, else `slots`.
  uint32_t slots = 1;
  uint32_t cold_slots = 1;
  // If true, only a warm target with a free slot is chosen. Set for hedges,
  // which must not delay other requests.
  bool free_slot_only = false;
  // Returns a random number, uniform over all 64-bit values.
  const std::function<uint64_t()>& random;
};

// Returns the less loaded of two eligible targets picked at random, or the one
// in the own zone if their loads differ by at most one request. Warm targets
// are preferred to cold ones, and cold targets with a free slot to other cold
// ones. One choice in eight goes to a cold target with a free slot although a
// warm one is eligible, unless `free_slot_only` is set. A target that is
// leaving, unusable or excluded is never chosen. Returns nullopt if no target
// is eligible.
std::optional<TargetCandidate> ChooseReplica(
    std::span<const TargetCandidate> candidates,
    const ReplicaChoiceOptions& options);

// Returns the service's settings. For a service that `front` does not list,
// returns settings with one slot.
const ServiceConfig& ServiceConfigOrDefault(const FrontConfig& front,
                                            const ServiceId& service);

// Returns true if the candidate is usable, is not leaving, and holds the
// snapshot if one is given.
bool CanServe(const TargetCandidate& candidate,
              const std::optional<SnapshotId>& snapshot);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_REPLICA_CHOICE_H_
