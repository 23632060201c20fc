#include "knapweedroad/config/parse_role_settings.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

constexpr std::string_view kEntry = R"({
  // An entry host.
  "name": "entry-1", "zone": "leuven",
  "caller_address": "10.1.0.39:8226", "ready_address": "10.1.0.39:8227",
  "peer_address": "10.1.0.39:7740",
  "control_seeds": ["10.1.0.42:8224", "10.2.0.35:8224"],
  "first_start": true, "stop_grace": "6s", "catch_up": "5s",
  "retry_ratio": "0.2", "retry_slack": "58"
})";

Test(parse_role_settings, reads_an_entry_host) {
  const auto settings = ParseRoleSettings(kEntry, "entry.json");
  cr_assert(settings.has_value());
  cr_expect(settings->zone == ZoneId("leuven"));
  cr_expect(settings->caller_address == (Endpoint{"10.1.0.39", 8226}));
  cr_expect(settings->control_seeds.size() == 2);
  cr_expect(settings->first_start);
  cr_expect(settings->stop_grace == std::chrono::seconds(6));
  cr_expect(settings->catch_up == std::chrono::seconds(5));
  cr_expect(settings->retry_slack == 58);
  cr_expect(!settings->data_folder);
}

Test(parse_role_settings, says_all_faults_with_their_places) {
  const auto settings = ParseRoleSettings(R"({
  "name": "c-1", "zone": "leuven", "control_address": "10.1.0.42:8224",
  "peer_address": "10.1.0.42", "retry_ratio": "lots",
  "control_seeds": ["nowhere"], "colour": 1
})",
                                          "control.json");
  cr_assert(!settings.has_value());
  std::string text;
  for (const ConfigError& error : settings.error()) {
    text += error.ToString() + "\n";
  }
  cr_expect(text.find("data_folder") != std::string::npos, "%s", text.c_str());
  cr_expect(text.find("peer_address") != std::string::npos);
  cr_expect(text.find("retry_ratio") != std::string::npos);
  cr_expect(text.find("control_seeds") != std::string::npos);
  cr_expect(text.find("colour") != std::string::npos);
  cr_expect(text.find("control.json:3") != std::string::npos);
}

}  // namespace
}  // namespace knapweedroad
