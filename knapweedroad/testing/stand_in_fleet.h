// The stand-in searchers of a whole deployment, from its configuration.
//
//   for (StandInOptions& options : PlanFleet(deployment, {.first_port = 9000,
//                                            .first_control_port = 9500})) ...
//
// The n-th searcher of a service is called SERVICE-n; the searchers of a
// service stand in as many zones as there are. Every searcher of the
// deployment has its own two ports whether it is selected or not, so several
// processes can each run a part.

#ifndef KNAPWEEDROAD_TESTING_STAND_IN_FLEET_H_
#define KNAPWEEDROAD_TESTING_STAND_IN_FLEET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/testing/stand_in_searcher.h"

namespace knapweedroad {

struct DeploymentConfig;

struct FleetOptions {
  // See MatchesPatterns(); and zones and fronts, all where empty.
  std::string targets = "*";
  std::vector<ZoneId> zones;
  std::vector<FrontId> fronts;
  std::string ip = "127.0.0.1";
  // 0: any free ports.
  uint16_t first_port = 0;
  uint16_t first_control_port = 0;
  std::vector<Endpoint> host_addresses;
  bool starts_cold = true;
  uint32_t warm_after = 20;
  Duration service_time_median = std::chrono::milliseconds(5);
  double service_time_sigma = 0.3;
  uint64_t incarnation = 1;
  uint64_t seed = 1;
};

std::vector<StandInOptions> PlanFleet(const DeploymentConfig& deployment,
                                      const FleetOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_STAND_IN_FLEET_H_
