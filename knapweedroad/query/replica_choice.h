// Which target of a service is asked.
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
  const ZoneId& own_zone;
  // Only targets that hold it; any target where absent.
  std::optional<SnapshotId> snapshot;
  // Targets that this request has tried.
  std::span<const TargetId> excluded;
  // What one searcher of the service runs at once, in a cold start or not.
  uint32_t slots = 1;
  uint32_t cold_slots = 1;
  // A hedge only goes to a warm target with a free slot: it must help
  // without making anybody else wait.
  bool free_slot_only = false;
  const std::function<uint64_t()>& random;
};

// Never one that is leaving or not usable. While there is a warm one, a cold
// one gets one in eight choices, and only while it has has_room. The less
// loaded of two picked at random; of two that are about as busy the one in the
// own zone.
std::optional<TargetCandidate> ChooseReplica(
    std::span<const TargetCandidate> candidates,
    const ReplicaChoiceOptions& options);

// The service's settings; those of an unknown one allow one request at once.
const ServiceConfig& ServiceConfigOrDefault(const FrontConfig& front,
                                            const ServiceId& service);

// Whether it may get new work and holds the snapshot.
bool CanServe(const TargetCandidate& candidate,
              const std::optional<SnapshotId>& snapshot);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_REPLICA_CHOICE_H_
