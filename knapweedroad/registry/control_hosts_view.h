#ifndef KNAPWEEDROAD_REGISTRY_CONTROL_HOSTS_VIEW_H_
#define KNAPWEEDROAD_REGISTRY_CONTROL_HOSTS_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// The reachability of the other control hosts, as one control host sees it at
// one moment.
struct ControlHostsView {
  // Whether this control host has complete information; see
  // ControlHostTable::HasFullView().
  bool has_full_view = false;
  // The ids of the unreachable control hosts, separated by spaces, for a log
  // line.
  std::string unreachable;
  // The time since the last query that a quorum answered. Empty if there was
  // none.
  std::optional<Duration> quorum_age;
};

// Returns the quorum age in milliseconds, for logs and metrics, or -1 if no
// quorum has ever answered.
int64_t QuorumAgeMs(const ControlHostsView& view);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_CONTROL_HOSTS_VIEW_H_
