#include "knapweedroad/config/parse_role_settings.h"

#include <optional>
#include <string>
#include <utility>

#include "knapweedroad/config/error_list.h"
#include "knapweedroad/config/object_reader.h"

namespace knapweedroad {
namespace {

std::optional<Endpoint> ReadAddress(ObjectReader& reader,
                                    std::string_view key) {
  if (reader.Find(key) == nullptr) {
    return std::nullopt;
  }
  return reader.Required(key, ReadEndpoint);
}

void ReadAddresses(ObjectReader& reader, RoleSettings& settings) {
  settings.caller_address = ReadAddress(reader, "caller_address");
  settings.ready_address = ReadAddress(reader, "ready_address");
  settings.control_address = ReadAddress(reader, "control_address");
  if (const auto peer = reader.Required("peer_address", ReadEndpoint)) {
    settings.peer_address = *peer;
  }
  const auto port = reader.Optional("metrics_port", uint32_t{0}, ReadCount);
  settings.metrics_port = static_cast<uint16_t>(port.value_or(0));
  if (!settings.caller_address && !settings.control_address) {
    reader.Fail("caller_address", "the host serves neither callers nor control",
                "give it caller_address or control_address");
  }
  if (settings.control_address && !settings.data_folder) {
    reader.Fail("data_folder", "a control host has nowhere to keep its vote",
                "give it a folder of its own");
  }
}

void ReadSeeds(ObjectReader& reader, RoleSettings& settings) {
  reader.Each(
      "control_seeds", [&](const JsonNode& element, const std::string&) {
        const auto seed = ReadEndpoint(element);
        if (seed) {
          settings.control_seeds.push_back(*seed);
          return;
        }
        reader.Fail("control_seeds", seed.error().message, seed.error().remedy);
      });
}

// A number from 0 up that JSON may give as a whole or a decimal one.
FieldValue<double> ReadAmount(const JsonNode& node) {
  const auto text = ReadText(node);
  if (!text) {
    return tl::unexpected(text.error());
  }
  char* end = nullptr;
  const double value = std::strtod(text->c_str(), &end);
  if (end != text->c_str() + text->size() || !(value >= 0)) {
    return tl::unexpected(ValueFault{.message = Quoted(*text) + " is no amount",
                                     .remedy = "write a number from 0 up"});
  }
  return value;
}

void ReadBounds(ObjectReader& reader, RoleSettings& settings) {
  const auto duration = [&](std::string_view key, Duration& into) {
    into = reader.Optional(key, into, ReadPositiveDuration).value_or(into);
  };
  const auto amount = [&](std::string_view key, double& into) {
    into = reader.Optional(key, into, ReadAmount).value_or(into);
  };
  duration("heartbeat_interval", settings.heartbeat_interval);
  duration("stop_grace", settings.stop_grace);
  duration("catch_up", settings.catch_up);
  duration("retry_window", settings.retry_window);
  amount("retry_ratio", settings.retry_ratio);
  amount("retry_slack", settings.retry_slack);
  amount("cold_burst_factor", settings.cold_burst_factor);
  amount("cold_slack", settings.cold_slack);
  amount("exposure_share", settings.exposure_share);
  amount("exposure_slack", settings.exposure_slack);
  duration("order_resend_window", settings.order_resend_window);
  duration("revocation_bound", settings.revocation_bound);
  duration("quota_window", settings.quota_window);
  amount("quota_overshoot", settings.quota_overshoot);
  amount("quota_slack", settings.quota_slack);
}

}  // namespace

tl::expected<RoleSettings, std::vector<ConfigError>> ParseRoleSettings(
    std::string_view text,
    std::string_view file_name) {
  ErrorList errors(file_name);
  RoleSettings settings;
  if (const auto document = ParseDocument(text, errors)) {
    ObjectReader reader(*document, document->root(), "", errors);
    settings.name = HostId(reader.Required("name", ReadText).value_or(""));
    settings.zone = ZoneId(reader.Required("zone", ReadText).value_or(""));
    if (reader.Find("data_folder") != nullptr) {
      settings.data_folder = reader.Required("data_folder", ReadText);
    }
    settings.first_start =
        reader.Optional("first_start", false, ReadBoolean).value_or(false);
    settings.strict_revocation =
        reader.Optional("strict_revocation", false, ReadBoolean)
            .value_or(false);
    ReadAddresses(reader, settings);
    ReadSeeds(reader, settings);
    ReadBounds(reader, settings);
    reader.Finish();
  }
  if (!errors.empty()) {
    return tl::unexpected(errors.Take());
  }
  return settings;
}

}  // namespace knapweedroad
