// Which control host a target had better announce itself to.
//
//   if (const auto host = NearerControlHost(live, {.zone = own, ...})) ...

#ifndef KNAPWEEDROAD_REGISTRY_ANNOUNCE_PLAN_H_
#define KNAPWEEDROAD_REGISTRY_ANNOUNCE_PLAN_H_

#include <optional>
#include <span>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {

struct AnnouncePlace {
  // Of the control host that the target has reached.
  ZoneId reached;
  // Of the target, and its id, by which its zone's hosts share the targets.
  ZoneId zone;
  TargetId target;
};

// A control host of the target's own zone. Nothing where it has reached one
// already, or none is heard. Announcements come about once a second for ever,
// and bytes between zones are paid for.
std::optional<HostId> NearerControlHost(std::span<const ControlHostRecord> live,
                                        const AnnouncePlace& place);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_ANNOUNCE_PLAN_H_
