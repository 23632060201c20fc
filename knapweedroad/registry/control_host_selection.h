// Selects the control hosts that a host follows.
//
//   std::vector<HostId> selected = SelectControlHosts(candidates, {.zone =
//   zone});

#ifndef KNAPWEEDROAD_REGISTRY_CONTROL_HOST_SELECTION_H_
#define KNAPWEEDROAD_REGISTRY_CONTROL_HOST_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// The state of one control host, as a follower sees it.
struct ControlHostCandidate {
  HostId host;
  // Empty until the host responds or is mentioned.
  ZoneId zone;
  bool is_live = false;
  bool failed_recently = false;
  // Its last reply reported that it reaches all other control hosts, so that
  // its information is complete.
  bool has_full_view = false;
  // Its last reply reported that a quorum of the replicas answers it.
  bool has_quorum = false;
  // It confirmed lately, with a quorum, which version is the newest; or it
  // failed to when it was last asked. Neither is set where confirmations aren't
  // needed.
  bool is_confirmed = false;
  bool is_unconfirmed = false;
  // Orders otherwise equal candidates; differs between followers.
  uint64_t rank = 0;
};

struct ControlHostSelectionOptions {
  // Control hosts of this zone are preferred.
  ZoneId zone;
  // The maximum number of hosts selected while no single one suffices.
  size_t max_selected = 3;
  // The maximum while none of the selected hosts has a quorum. Hosts of one
  // partitioned minority may be the most preferred ones.
  size_t max_selected_without_quorum = 3;
};

// Returns the selected hosts in order of preference. The selection ends at the
// first live host that has a full view and has not failed recently, or at the
// maximum; preferred hosts before it are selected too and so are retried. If
// none of the selected hosts has a quorum, the first live candidate that has
// one is added.
//
// While any candidate is unconfirmed, only confirmed ones count as having a
// full view or a quorum: others of the same minority may still claim both, and
// asking them one after the other would take too long.
//
// One control host of the own zone is enough while it has a full view:
// following several delivers each change several times, mostly across zones.
std::vector<HostId> SelectControlHosts(
    std::span<const ControlHostCandidate> candidates,
    const ControlHostSelectionOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_CONTROL_HOST_SELECTION_H_
