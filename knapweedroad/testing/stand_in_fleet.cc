#include "knapweedroad/testing/stand_in_fleet.h"

#include <algorithm>

#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/testing/name_pattern.h"

namespace knapweedroad {
namespace {

constexpr uint64_t kSeedsOfAFleet = 1000;

template <typename Name>
bool Contains(const std::vector<Name>& names, const Name& name) {
  return names.empty() ||
         std::find(names.begin(), names.end(), name) != names.end();
}

bool IsSelected(const SearcherCoreOptions& core, const FleetOptions& options) {
  return MatchesPatterns(options.targets, core.target.str()) &&
         Contains(options.zones, core.zone) &&
         Contains(options.fronts, core.front);
}

// The stand-ins hold the oldest generation at first; `repartition` moves them.
const GenerationConfig* OldestGeneration(const FrontConfig& front) {
  const auto oldest =
      std::min_element(front.generations.begin(), front.generations.end(),
                       [](const auto& left, const auto& right) {
                         return left.number < right.number;
                       });
  return oldest == front.generations.end() ? nullptr : &*oldest;
}

void SetUnits(const FrontConfig& front,
              const ServiceConfig& service,
              SearcherCoreOptions& core) {
  const GenerationConfig* generation = OldestGeneration(front);
  if (generation == nullptr) {
    return;
  }
  core.snapshot.generation = generation->number;
  const auto units = generation->units.find(service.name);
  if (units != generation->units.end()) {
    core.units = units->second;
  }
}

uint16_t PortOf(uint16_t first, size_t index) {
  return first == 0 ? 0 : static_cast<uint16_t>(first + index);
}

// The searcher that stands at `index` in the deployment.
StandInOptions MakeSearcher(const FrontConfig& front,
                            const ServiceConfig& service,
                            uint32_t number,
                            size_t index,
                            const FleetOptions& options) {
  StandInOptions searcher;
  SearcherCoreOptions& core = searcher.core;
  core.target = TargetId(service.name.str() + "-" + std::to_string(number));
  core.front = front.name;
  core.service = service.name;
  core.slots = service.slots;
  core.cold_slots = service.cold_slots;
  core.connections = service.connections;
  core.starts_cold = options.starts_cold;
  core.warm_after = options.warm_after;
  core.service_time_median = options.service_time_median;
  core.service_time_sigma = options.service_time_sigma;
  core.incarnation = options.incarnation;
  core.seed = options.seed * kSeedsOfAFleet + index;
  SetUnits(front, service, core);
  searcher.connect_cost = service.connect_cost;
  searcher.host_addresses = options.host_addresses;
  searcher.endpoint = {.ip = options.ip,
                       .port = PortOf(options.first_port, index)};
  searcher.control_endpoint = {
      .ip = options.ip, .port = PortOf(options.first_control_port, index)};
  return searcher;
}

}  // namespace

std::vector<StandInOptions> PlanFleet(const DeploymentConfig& deployment,
                                      const FleetOptions& options) {
  std::vector<StandInOptions> fleet;
  size_t index = 0;
  for (const FrontConfig& front : deployment.fronts) {
    for (const ServiceConfig& service : front.services) {
      for (uint32_t number = 1; number <= service.searchers; ++number) {
        StandInOptions searcher =
            MakeSearcher(front, service, number, index, options);
        searcher.core.zone =
            deployment.zones[index % deployment.zones.size()].name;
        ++index;
        if (IsSelected(searcher.core, options)) {
          fleet.push_back(std::move(searcher));
        }
      }
    }
  }
  return fleet;
}

}  // namespace knapweedroad
