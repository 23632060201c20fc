// Reads a deployment's configuration file for the bench's commands.

#ifndef KNAPWEEDROAD_TESTING_DEPLOYMENT_FILE_H_
#define KNAPWEEDROAD_TESTING_DEPLOYMENT_FILE_H_

#include <optional>
#include <string>

#include "knapweedroad/config/deployment_config.h"

namespace knapweedroad {

// Prints what is wrong to the standard error.
std::optional<DeploymentConfig> ReadDeploymentFile(const std::string& file);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_DEPLOYMENT_FILE_H_
