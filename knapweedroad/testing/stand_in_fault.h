// An order to a stand-in searcher to misbehave or to change, as sent to
// `POST /v1/stand-in/fault` on its control address.
//
//   auto fault = ParseStandInFault(R"({"fault": "restart", "down_ms": 500})");
//
// | fault          | fields                                              |
// |----------------|-----------------------------------------------------|
// | misbehave      | straggle_probability, straggle_factor,              |
// |                | shed_probability, error_probability,                |
// |                | crossed_probability, truncated_probability,         |
// |                | reports_ready, reports_idle, answers_hide_state;    |
// |                | what is absent is healed                            |
// | fall_cold      |                                                     |
// | warm_up        | ends a cold start at once                           |
// | go_silent      | open connections never answer again, new ones work  |
// | restart        | down_ms: how long nothing listens                   |
// | leave          |                                                     |
// | change_version | version; the newest held and one where it is absent |
// | repartition    | generation, units; version as above                 |
// | mark_zone_out  | operators took its zone out just now                |
// | mark_zone_in   |                                                     |
// | reset_counts   |                                                     |

#ifndef KNAPWEEDROAD_TESTING_STAND_IN_FAULT_H_
#define KNAPWEEDROAD_TESTING_STAND_IN_FAULT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/testing/searcher_faults.h"

namespace knapweedroad {

enum class StandInFaultKind : uint8_t {
  kMisbehave,
  kFallCold,
  kWarmUp,
  kGoSilent,
  kRestart,
  kLeave,
  kChangeVersion,
  kRepartition,
  kMarkZoneOut,
  kMarkZoneIn,
  kResetCounts,
};

struct StandInFault {
  StandInFaultKind kind = StandInFaultKind::kMisbehave;
  // Of kMisbehave.
  SearcherFaults faults;
  // Of kChangeVersion (its version only) and kRepartition; version 0 stands
  // for the newest held and one.
  SnapshotId snapshot;
  // Of kRepartition: the units held from then on.
  uint32_t units = 0;
  // Of kRestart.
  Duration down{};
};

// The error says what is wrong with the text, with unknown fields named.
tl::expected<StandInFault, std::string> ParseStandInFault(
    std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_STAND_IN_FAULT_H_
