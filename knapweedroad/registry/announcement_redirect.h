// Chooses the control host to which a target should send its announcements.
//
//   const auto host = FindControlHostInZone(live, {.zone = zone, ...});

#ifndef KNAPWEEDROAD_REGISTRY_ANNOUNCEMENT_REDIRECT_H_
#define KNAPWEEDROAD_REGISTRY_ANNOUNCEMENT_REDIRECT_H_

#include <optional>
#include <span>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {

struct AnnouncementOrigin {
  // The zone of the control host that the target contacted.
  ZoneId contacted_zone;
  // The target's own zone, and its id, whose hash spreads the targets over the
  // control hosts of the zone.
  ZoneId zone;
  TargetId target;
};

// Returns a control host of the target's own zone. Returns nothing if the
// contacted control host is in that zone already, or if the zone has no live
// control host. A target announces itself about once a second for its whole
// lifetime, and traffic between zones is billed.
std::optional<HostId> FindControlHostInZone(
    std::span<const ControlHostRecord> live,
    const AnnouncementOrigin& origin);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_ANNOUNCEMENT_REDIRECT_H_
