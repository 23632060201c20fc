// Reads the settings of an entry host or a control host.
//
//   auto settings = ParseRoleSettings(text, "settings.json");
//   if (!settings) return Report(settings.error());

#ifndef KNAPWEEDROAD_CONFIG_PARSE_ROLE_SETTINGS_H_
#define KNAPWEEDROAD_CONFIG_PARSE_ROLE_SETTINGS_H_

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/role_settings.h"

namespace knapweedroad {

// JSON with comments; every fault at once, each with its place and remedy.
tl::expected<RoleSettings, std::vector<ConfigError>> ParseRoleSettings(
    std::string_view text,
    std::string_view file_name);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_PARSE_ROLE_SETTINGS_H_
