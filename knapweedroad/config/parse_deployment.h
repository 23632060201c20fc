// Reads the configuration that operators apply, and checks it in full.
//
//   auto deployment = ParseDeployment(text, "deployment.json");
//   if (!deployment) {
//     for (const ConfigError& error : deployment.error()) Print(error);
//   }

#ifndef KNAPWEEDROAD_CONFIG_PARSE_DEPLOYMENT_H_
#define KNAPWEEDROAD_CONFIG_PARSE_DEPLOYMENT_H_

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/deployment_config.h"

namespace knapweedroad {

// `text` is JSON with comments. The errors are every fault of the file, in the
// order in which they stand; a text that is no JSON has one, where it breaks
// off. `file_name` is only for the errors. Never throws, whatever the bytes.
tl::expected<DeploymentConfig, std::vector<ConfigError>> ParseDeployment(
    std::string_view text,
    std::string_view file_name);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_PARSE_DEPLOYMENT_H_
