// Which control host a target had better announce itself to.
//
//   if (const auto host = NearerControlHost(live, {.zone = own, ...})) ...

#ifndef KNAPWEEDROAD_REGISTRY_ANNOUNCEMENT_REDIRECT_H_
#define KNAPWEEDROAD_REGISTRY_ANNOUNCEMENT_REDIRECT_H_

#include <optional>
#include <span>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {

struct AnnouncementOrigin {
  // Of the control host that the target has reached.
  ZoneId contacted_zone;
  // Of the target, and its id, by which its zone's hosts share the targets.
  ZoneId zone;
  TargetId target;
};

// A control host of the target's own zone. Nothing where it has reached one
// already, or none is heard. Announcements come about once a second for ever,
// and bytes between zones are paid for.
std::optional<HostId> FindControlHostInZone(
    std::span<const ControlHostRecord> live,
    const AnnouncementOrigin& origin);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_ANNOUNCEMENT_REDIRECT_H_
