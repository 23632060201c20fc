#ifndef KNAPWEEDROAD_REGISTRY_CONTROL_HOSTS_VIEW_H_
#define KNAPWEEDROAD_REGISTRY_CONTROL_HOSTS_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// What a control host makes of the others at one moment.
struct ControlHostsView {
  // Its news is whole.
  bool has_full_view = false;
  // Those that are known and don't answer, as a log line names them.
  std::string unreachable;
  // Since the last question that a quorum has answered; nothing: never.
  std::optional<Duration> quorum_age;
};

// For logs and metrics; -1: never.
int64_t QuorumAgeMs(const ControlHostsView& view);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_CONTROL_HOSTS_VIEW_H_
