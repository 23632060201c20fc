// Reads a process's settings file, and checks it in full.
//
//   auto settings = ParseHostSettings(text, "leuven-1.json");
//   if (!settings) return Report(settings.error());

#ifndef KNAPWEEDROAD_CONFIG_PARSE_HOST_SETTINGS_H_
#define KNAPWEEDROAD_CONFIG_PARSE_HOST_SETTINGS_H_

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

struct DeploymentConfig;

// As `ParseDeployment`: JSON with comments, every fault at once, no exception.
tl::expected<HostSettings, std::vector<ConfigError>> ParseHostSettings(
    std::string_view text,
    std::string_view file_name);

// The same, and every zone that the file names has to be one of the
// deployment's.
tl::expected<HostSettings, std::vector<ConfigError>> ParseHostSettingsFor(
    const DeploymentConfig& deployment,
    std::string_view text,
    std::string_view file_name);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_PARSE_HOST_SETTINGS_H_
