#include "knapweedroad/config/parse_deployment.h"

#include <string>
#include <utility>

#include "knapweedroad/config/error_list.h"
#include "knapweedroad/config/front_reader.h"
#include "knapweedroad/config/object_reader.h"
#include "knapweedroad/config/unique_names.h"

namespace knapweedroad {
namespace {

void ReadZones(ObjectReader& reader, DeploymentConfig& deployment) {
  UniqueNames unique;
  reader.Each("zones", [&](const JsonNode& element, std::string path) {
    ObjectReader zone(reader.document, element, std::move(path), reader.errors);
    ZoneConfig& config = deployment.zones.emplace_back();
    if (const auto name = zone.Required("name", ReadName)) {
      unique.Check(zone, "name", *name, "zone");
      config.name = ZoneId(*name);
    }
    config.out = zone.Optional("out", config.out, ReadBoolean).value_or(false);
    zone.Finish();
  });
}

void ReadFronts(ObjectReader& reader, DeploymentConfig& deployment) {
  UniqueNames unique;
  reader.Each("fronts", [&](const JsonNode& element, std::string path) {
    ObjectReader front(reader.document, element, std::move(path),
                       reader.errors);
    deployment.fronts.push_back(ReadFront(front));
    const std::string& name = deployment.fronts.back().name.str();
    if (!name.empty()) {
      unique.Check(front, "name", name, "front");
    }
  });
}

DeploymentConfig ReadDeployment(ObjectReader& reader) {
  DeploymentConfig deployment;
  deployment.name = reader.Required("name", ReadName).value_or("");
  ReadZones(reader, deployment);
  ReadFronts(reader, deployment);
  reader.Finish();
  return deployment;
}

}  // namespace

tl::expected<DeploymentConfig, std::vector<ConfigError>> ParseDeployment(
    std::string_view text,
    std::string_view file_name) {
  ErrorList errors(file_name);
  const auto document = ParseDocument(text, errors);
  if (!document) {
    return tl::unexpected(errors.Take());
  }
  ObjectReader reader(*document, document->root(), "", errors);
  DeploymentConfig deployment = ReadDeployment(reader);
  if (!errors.empty()) {
    return tl::unexpected(errors.Take());
  }
  return deployment;
}

}  // namespace knapweedroad
