#include "knapweedroad/control/control_contacts.h"

#include <algorithm>

#include "knapweedroad/control/change_run.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/control/membership.h"

namespace knapweedroad {

std::vector<HostId> ControlContacts(std::span<const HostId> seeds,
                                    const std::optional<ControlValue>& accepted,
                                    const std::optional<BallotedValue>& known) {
  std::vector<HostId> hosts(seeds.begin(), seeds.end());
  const Membership* newest = accepted ? &accepted->members : nullptr;
  if (known &&
      (newest == nullptr || newest->epoch < known->value.members.epoch)) {
    newest = &known->value.members;
  }
  if (newest == nullptr) {
    return hosts;
  }
  for (const MemberId& member : newest->Everyone()) {
    if (std::ranges::find(hosts, member.host) == hosts.end()) {
      hosts.push_back(member.host);
    }
  }
  return hosts;
}

}  // namespace knapweedroad
