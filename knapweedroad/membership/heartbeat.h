#ifndef KNAPWEEDROAD_MEMBERSHIP_HEARTBEAT_H_
#define KNAPWEEDROAD_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/membership/relayed_report.h"
#include "knapweedroad/target/held_target.h"

namespace knapweedroad {

// The state that each host sends to every other host several times a second,
// over UDP, and over TCP to hosts from which no message has arrived recently.
struct Heartbeat {
  HostId host;
  ZoneId zone;
  // Increases with each start of the host. Heartbeats of one host are ordered
  // by `incarnation`, then by `sequence`, which increases with each heartbeat.
  // The same heartbeat may arrive over both UDP and TCP.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // The version of the configuration in force on the host.
  uint64_t configuration_version = 0;
  // Whether the host can be granted leases now: it reaches a majority of its
  // zone's electorate and is not leaving.
  bool can_hold_leases = false;
  bool leaving = false;
  // All targets that the host holds. It does not hold any target that is not
  // listed here.
  std::vector<HeldTarget> held_targets;
  // Target reports that are due to be relayed. A heartbeat has a limited number
  // of them; the others follow in later heartbeats.
  std::vector<RelayedReport> reports;

  // Serializes the fields in order, for cereal. Callers must also include
  // cereal's support for <chrono>, <string> and <vector>.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->zone, this->incarnation, this->sequence,
            this->configuration_version, this->can_hold_leases, this->leaving,
            this->held_targets, this->reports);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_HEARTBEAT_H_
