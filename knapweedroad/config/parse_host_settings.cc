#include "knapweedroad/config/parse_host_settings.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>

#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/config/error_list.h"
#include "knapweedroad/config/object_reader.h"
#include "knapweedroad/config/unique_names.h"

namespace knapweedroad {
namespace {

// The zones there are; none where they aren't known.
using KnownZones = std::optional<std::vector<std::string_view>>;

std::string Print(const Endpoint& endpoint) {
  const bool v6 = endpoint.ip.find(':') != std::string::npos;
  return (v6 ? "[" + endpoint.ip + "]" : endpoint.ip) + ":" +
         std::to_string(endpoint.port);
}

bool IsAnyAddress(const std::string& ip) {
  return ip == "0.0.0.0" || ip == "::";
}

// Two sockets can't listen on both.
bool Clash(const Endpoint& a, const Endpoint& b) {
  return a.port == b.port &&
         (a.ip == b.ip || IsAnyAddress(a.ip) || IsAnyAddress(b.ip));
}

std::optional<std::string> ReadZone(ObjectReader& reader,
                                    const KnownZones& zones) {
  std::optional<std::string> zone = reader.Required("zone", ReadName);
  if (!zone || !zones || std::ranges::find(*zones, *zone) != zones->end()) {
    return zone;
  }
  reader.Fail("zone", "the deployment has no zone " + Quoted(*zone),
              reader.errors.Suggest(*zone, *zones, "name one of its zones"));
  return zone;
}

// Reads the four addresses that this process listens on.
void ReadAddresses(ObjectReader& reader, HostSettings& settings) {
  struct Field {
    std::string_view key;
    Endpoint* endpoint;
    bool read = false;
  };
  std::array<Field, 4> fields = {{
      {"caller_address", &settings.caller_address},
      {"target_address", &settings.target_address},
      {"operator_address", &settings.operator_address},
      {"peer_address", &settings.peer_address},
  }};
  for (auto field = fields.begin(); field != fields.end(); ++field) {
    auto endpoint = reader.Required(field->key, ReadEndpoint);
    if (!endpoint) {
      continue;
    }
    *field->endpoint = *std::move(endpoint);
    field->read = true;
    const auto same = std::find_if(fields.begin(), field, [&](const Field& f) {
      return f.read && Clash(*f.endpoint, *field->endpoint);
    });
    if (same != field) {
      reader.Fail(field->key,
                  Print(*field->endpoint) + " can't be had beside " +
                      std::string(same->key),
                  "give each address a port of its own");
    }
  }
}

std::optional<Endpoint> ReadPeerAddress(ObjectReader& reader,
                                        UniqueNames& unique) {
  std::optional<Endpoint> address =
      reader.Required("peer_address", ReadEndpoint);
  if (!address) {
    return address;
  }
  if (IsAnyAddress(address->ip)) {
    reader.Fail("peer_address", "no host can be reached at " + address->ip,
                "write the host's own IP number");
  }
  unique.Check(reader, "peer_address", Print(*address), "address");
  return address;
}

PeerSettings ReadPeer(ObjectReader& reader,
                      const KnownZones& zones,
                      UniqueNames& names,
                      UniqueNames& addresses) {
  PeerSettings peer;
  if (const auto name = reader.Required("name", ReadName)) {
    names.Check(reader, "name", *name, "host");
    peer.name = HostId(*name);
  }
  peer.zone = ZoneId(ReadZone(reader, zones).value_or(""));
  peer.peer_address = ReadPeerAddress(reader, addresses).value_or(Endpoint());
  peer.control_replica =
      reader.Optional("control_replica", false, ReadBoolean).value_or(false);
  reader.Finish();
  return peer;
}

// What the host says of itself twice has to be the same both times.
void CheckOwnEntry(ObjectReader& reader,
                   const HostSettings& settings,
                   const PeerSettings& own,
                   const std::string& own_path) {
  const bool zones_read = !settings.zone.empty() && !own.zone.empty();
  if (zones_read && settings.zone != own.zone) {
    reader.Fail("zone",
                Quoted(settings.zone.str()) + " is not the zone of " +
                    own_path + ", " + Quoted(own.zone.str()),
                "write the same zone in both");
  }
  const Endpoint& listens = settings.peer_address;
  const Endpoint& announced = own.peer_address;
  if (listens.port != 0 && announced.port != 0 && !Clash(listens, announced)) {
    reader.Fail("peer_address",
                Print(listens) + " is not the peer_address of " + own_path +
                    ", " + Print(announced),
                "write the same address in both");
  }
  if (own.control_replica && reader.Find("data_folder") == nullptr) {
    reader.Fail(
        "data_folder",
        "a control replica has to keep its state, and no folder is "
        "named",
        "write data_folder, or take control_replica out of " + own_path);
  }
}

void CheckHosts(ObjectReader& reader,
                const HostSettings& settings,
                bool names_complete) {
  const auto& hosts = settings.hosts;
  const bool any_replica =
      std::ranges::any_of(hosts, &PeerSettings::control_replica);
  if (!hosts.empty() && !any_replica) {
    reader.Fail("hosts", "no host is a control replica",
                "mark three or five with \"control_replica\": true");
  }
  if (settings.name.empty()) {
    return;
  }
  const auto own = std::ranges::find(hosts, settings.name, &PeerSettings::name);
  if (own != hosts.end()) {
    const auto index = std::to_string(own - hosts.begin());
    CheckOwnEntry(reader, settings, *own, "hosts[" + index + "]");
  } else if (names_complete && !hosts.empty()) {
    reader.Fail("name", Quoted(settings.name.str()) + " is not among hosts",
                "add this host to hosts, or mend the name");
  }
}

HostSettings ReadHostSettings(ObjectReader& reader, const KnownZones& zones) {
  HostSettings settings;
  settings.name = HostId(reader.Required("name", ReadName).value_or(""));
  settings.zone = ZoneId(ReadZone(reader, zones).value_or(""));
  ReadAddresses(reader, settings);
  if (reader.Find("data_folder") != nullptr) {
    settings.data_folder = reader.Required("data_folder", ReadText);
  }
  if (reader.Find("initial_configuration") != nullptr) {
    settings.initial_configuration =
        reader.Required("initial_configuration", ReadText);
  }
  UniqueNames names;
  UniqueNames addresses;
  reader.Each("hosts", [&](const JsonNode& element, std::string path) {
    ObjectReader peer(reader.document, element, std::move(path), reader.errors);
    settings.hosts.push_back(ReadPeer(peer, zones, names, addresses));
  });
  const bool names_complete = std::ranges::none_of(
      settings.hosts,
      [](const PeerSettings& peer) { return peer.name.empty(); });
  CheckHosts(reader, settings, names_complete);
  reader.Finish();
  return settings;
}

tl::expected<HostSettings, std::vector<ConfigError>> Parse(
    std::string_view text,
    std::string_view file_name,
    const KnownZones& zones) {
  ErrorList errors(file_name);
  const auto document = ParseDocument(text, errors);
  if (!document) {
    return tl::unexpected(errors.Take());
  }
  ObjectReader reader(*document, document->root(), "", errors);
  HostSettings settings = ReadHostSettings(reader, zones);
  if (!errors.empty()) {
    return tl::unexpected(errors.Take());
  }
  return settings;
}

}  // namespace

tl::expected<HostSettings, std::vector<ConfigError>> ParseHostSettings(
    std::string_view text,
    std::string_view file_name) {
  return Parse(text, file_name, std::nullopt);
}

tl::expected<HostSettings, std::vector<ConfigError>> ParseHostSettingsFor(
    const DeploymentConfig& deployment,
    std::string_view text,
    std::string_view file_name) {
  std::vector<std::string_view> zones;
  for (const ZoneConfig& zone : deployment.zones) {
    zones.push_back(zone.name.str());
  }
  return Parse(text, file_name, std::move(zones));
}

}  // namespace knapweedroad
