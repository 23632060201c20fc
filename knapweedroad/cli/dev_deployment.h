// The deployment that `dev` runs: small, complete, on loopback.

#ifndef KNAPWEEDROAD_CLI_DEV_DEPLOYMENT_H_
#define KNAPWEEDROAD_CLI_DEV_DEPLOYMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

DeploymentConfig DevDeployment();

// Host n has ports first + 10 n + 1 (callers), + 2 (targets), + 3 (operators)
// and + 4 (peers).
std::vector<HostSettings> DevHosts(uint16_t first_port,
                                   const std::string& data_folder);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CLI_DEV_DEPLOYMENT_H_
