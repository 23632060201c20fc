// The versioned configuration that operators apply: zones and fronts.
//
// It is agreed by the control replicas and in force on every host. What a
// single process needs to start is in `HostSettings`.

#ifndef KNAPWEEDROAD_CONFIG_DEPLOYMENT_CONFIG_H_
#define KNAPWEEDROAD_CONFIG_DEPLOYMENT_CONFIG_H_

#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/config/front_config.h"

namespace knapweedroad {

struct ZoneConfig {
  ZoneId name;
  // Operators have taken the zone out: its targets get no new work.
  bool out = false;

  friend bool operator==(const ZoneConfig&, const ZoneConfig&) = default;
};

struct DeploymentConfig {
  std::string name;
  std::vector<ZoneConfig> zones;
  std::vector<FrontConfig> fronts;

  friend bool operator==(const DeploymentConfig&,
                         const DeploymentConfig&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_DEPLOYMENT_CONFIG_H_
