// What every host tells every other one several times a second, over UDP and,
// where that is silent, over TCP.

#ifndef KNAPWEEDROAD_MEMBERSHIP_HEARTBEAT_H_
#define KNAPWEEDROAD_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/membership/relayed_report.h"
#include "knapweedroad/target/held_target.h"

namespace knapweedroad {

struct Heartbeat {
  HostId host;
  ZoneId zone;
  // Grows with each start of the host; with `sequence`, which grows with each
  // heartbeat, it orders them. The same one may be sent over both ways.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // The version of the configuration in force there.
  uint64_t configuration_version = 0;
  // Whether it can be granted leases now: it reaches a majority of its zone's
  // electorate and isn't leaving.
  bool can_hold_leases = false;
  bool leaving = false;
  // All that it holds: what isn't named, it doesn't hold.
  std::vector<HeldTarget> held_targets;
  // Reports that it had since its last heartbeat.
  std::vector<RelayedReport> reports;

  // For cereal; <chrono>, <string> and <vector> of it are needed beside.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->zone, this->incarnation, this->sequence,
            this->configuration_version, this->can_hold_leases, this->leaving,
            this->held_targets, this->reports);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_HEARTBEAT_H_
