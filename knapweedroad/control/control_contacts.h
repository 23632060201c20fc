// Which control hosts a control host turns to by itself.
//
//   for (const HostId& host : ControlContacts(seeds, replica.accepted(),
//                                             service.known())) {
//     Follow(host);
//   }

#ifndef KNAPWEEDROAD_CONTROL_CONTROL_CONTACTS_H_
#define KNAPWEEDROAD_CONTROL_CONTROL_CONTACTS_H_

#include <optional>
#include <span>
#include <vector>

#include "knapweedroad/control/member_id.h"

namespace knapweedroad {

struct BallotedValue;
struct ControlValue;

// The hosts that the settings name, which may all have been replaced since, and
// the members of the newer of the two values: what its own replica has
// accepted, and what it has heard. A host whose disk is fresh is found by them.
std::vector<HostId> ControlContacts(std::span<const HostId> seeds,
                                    const std::optional<ControlValue>& accepted,
                                    const std::optional<BallotedValue>& known);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_CONTROL_CONTACTS_H_
