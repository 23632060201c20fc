// Writes a configuration as the JSON that `ParseDeployment` reads.

#ifndef KNAPWEEDROAD_CONFIG_PRINT_DEPLOYMENT_H_
#define KNAPWEEDROAD_CONFIG_PRINT_DEPLOYMENT_H_

#include <string>

namespace knapweedroad {

struct DeploymentConfig;

// Every key in a fixed order, defaults included, one line for each zone,
// tenant, service and share of a generation: a changed value changes one line.
// What `ParseDeployment` accepts comes back equal when it is printed and read.
std::string PrintDeployment(const DeploymentConfig& deployment);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_PRINT_DEPLOYMENT_H_
