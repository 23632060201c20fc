#include "knapweedroad/host/operator_change.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/print_deployment.h"
#include "knapweedroad/host/change_call.h"

namespace knapweedroad {
namespace {

tl::expected<std::string, std::string> SwitchZone(const ZoneSwitch& change,
                                                  std::string_view text) {
  if (text.empty()) {
    return tl::unexpected(NoSuchZone(change.zone));
  }
  auto deployment = ParseDeployment(text, "the configuration in force");
  if (!deployment) {
    return tl::unexpected(deployment.error().front().ToString());
  }
  const auto zone = std::find_if(
      deployment->zones.begin(), deployment->zones.end(),
      [&](const ZoneConfig& each) { return each.name == change.zone; });
  if (zone == deployment->zones.end()) {
    return tl::unexpected(NoSuchZone(change.zone));
  }
  zone->out = change.out;
  return PrintDeployment(*deployment);
}

}  // namespace

std::string NoSuchZone(const ZoneId& zone) {
  return "the applied configuration has no zone '" + zone.str() + "'";
}

ChangeRequest MakeChangeRequest(const ChangeCall& call) {
  ChangeRequest request{.author = call.author,
                        .base_version = call.base_version};
  if (const auto* whole = std::get_if<WholeConfiguration>(&call.change)) {
    request.configuration = whole->text;
    return request;
  }
  const ZoneSwitch change = std::get<ZoneSwitch>(call.change);
  request.edit = [change](std::string_view text) {
    return SwitchZone(change, text);
  };
  request.edit_name =
      "zone " + change.zone.str() + (change.out ? " out" : " in");
  return request;
}

}  // namespace knapweedroad
