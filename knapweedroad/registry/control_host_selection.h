// Which control hosts a host follows.
//
//   std::vector<HostId> followed = PlanFollowing(known, {.zone = zone});

#ifndef KNAPWEEDROAD_REGISTRY_CONTROL_HOST_SELECTION_H_
#define KNAPWEEDROAD_REGISTRY_CONTROL_HOST_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// What a follower knows of one control host.
struct ControlHostCandidate {
  HostId host;
  // Empty: not heard yet.
  ZoneId zone;
  bool is_live = false;
  bool failed_recently = false;
  // It says that it hears all other control hosts, so that its news is whole.
  bool has_full_view = false;
  // It says that a quorum of the replicas answers it.
  bool has_quorum = false;
  // Orders candidates that are alike, differently on each follower.
  uint64_t rank = 0;
};

struct ControlHostSelectionOptions {
  // Control hosts of this zone come first.
  ZoneId zone;
  // Followed at a time while none is fit to be the only one.
  size_t max_selected = 3;
  // The same while none of them has a quorum: those that are cut off together
  // may come first in the order.
  size_t max_selected_without_quorum = 3;
};

// In order of preference. One that hears all others is enough; those that are
// preferred to it are tried again and again. Where none of them has a quorum,
// one that has is followed as well.
//
// One control host of the own zone is enough while it hears all others:
// following several brings each change as often, most of it between zones.
std::vector<HostId> SelectControlHosts(
    std::span<const ControlHostCandidate> candidates,
    const ControlHostSelectionOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_CONTROL_HOST_SELECTION_H_
