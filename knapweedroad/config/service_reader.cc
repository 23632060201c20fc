#include "knapweedroad/config/service_reader.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "knapweedroad/config/duration_text.h"
#include "knapweedroad/config/error_list.h"
#include "knapweedroad/config/front_config.h"
#include "knapweedroad/config/object_reader.h"
#include "knapweedroad/config/unique_names.h"

namespace knapweedroad {
namespace {

void CheckNotOver(ObjectReader& reader,
                  std::string_view key,
                  std::optional<uint32_t> value,
                  std::string_view limit_key,
                  std::optional<uint32_t> limit) {
  if (value && limit && *value > *limit) {
    reader.Fail(key,
                std::to_string(*value) + " is over " + std::string(limit_key) +
                    ", " + std::to_string(*limit),
                "lower it, or raise " + std::string(limit_key));
  }
}

void ReadLimits(ObjectReader& reader, ServiceConfig& service) {
  const auto searchers = reader.Required("searchers", ReadCount);
  const auto connections = reader.Required("connections", ReadCount);
  const auto slots = reader.Required("slots", ReadCount);
  const auto cold_slots =
      reader.Optional("cold_slots", service.cold_slots, ReadCount);
  CheckNotOver(reader, "slots", slots, "connections", connections);
  CheckNotOver(reader, "cold_slots", cold_slots, "slots", slots);
  service.searchers = searchers.value_or(0);
  service.connections = connections.value_or(0);
  service.slots = slots.value_or(0);
  service.cold_slots = cold_slots.value_or(0);
}

void ReadConnectCost(ObjectReader& reader,
                     Duration max_deadline,
                     ServiceConfig& service) {
  const auto cost =
      reader.Optional("connect_cost", service.connect_cost, ReadDuration);
  if (!cost) {
    return;
  }
  service.connect_cost = *cost;
  if (max_deadline != Duration::zero() && *cost >= max_deadline) {
    reader.Fail("connect_cost",
                PrintDuration(*cost) +
                    " is not under the front's max_deadline, " +
                    PrintDuration(max_deadline),
                "lower it, or raise max_deadline");
  }
}

// The services that generations name.
struct NamedServices {
  std::set<std::string, std::less<>> names;
  // Every generation could be read: only then is another service in none.
  bool complete = true;
};

void CheckKnown(ErrorList& errors,
                const ObjectReader::Counts& units,
                const ServiceList& services) {
  std::vector<std::string_view> candidates;
  for (const auto& [service, place] : services.places) {
    candidates.push_back(service);
  }
  for (const auto& [service, count] : units) {
    if (services.places.contains(service)) {
      continue;
    }
    errors.Add(count.position, count.path,
               "the front has no service " + Quoted(service),
               errors.Suggest(service, candidates,
                              "add the service, or take its units out"));
  }
}

void ReadUnits(ObjectReader& reader,
               const ServiceList& services,
               NamedServices& named,
               GenerationConfig& generation) {
  const auto units = reader.RequiredCounts("units");
  if (!units) {
    named.complete = false;
    return;
  }
  if (units->empty()) {
    reader.Fail("units", "no service has units", "name at least one service");
  }
  for (const auto& [service, count] : *units) {
    generation.units.emplace(ServiceId(service), count.value.value_or(0));
    named.names.insert(service);
  }
  if (services.complete) {
    CheckKnown(reader.errors, *units, services);
  }
}

void CheckEveryServiceNamed(ErrorList& errors,
                            const ServiceList& services,
                            const NamedServices& named) {
  for (const auto& [service, place] : services.places) {
    if (!named.names.contains(service)) {
      errors.Add(place, services.paths.at(service),
                 "no generation gives " + Quoted(service) + " units",
                 "name it in a generation, or take the service out");
    }
  }
}

void ReadServiceName(ObjectReader& reader,
                     UniqueNames& unique,
                     ServiceList& services,
                     ServiceConfig& service) {
  const auto name = reader.Required("name", ReadName);
  if (!name) {
    services.complete = false;
    return;
  }
  unique.Check(reader, "name", *name, "service");
  services.places.emplace(*name, reader.PlaceOf("name"));
  services.paths.emplace(*name, reader.PathOf("name"));
  service.name = ServiceId(*name);
}

}  // namespace

ServiceList ReadServices(ObjectReader& front_reader, FrontConfig& front) {
  ServiceList services;
  UniqueNames unique;
  const bool is_array = front_reader.Each(
      "services", [&](const JsonNode& element, std::string path) {
        ObjectReader reader(front_reader.document, element, std::move(path),
                            front_reader.errors);
        ServiceConfig& service = front.services.emplace_back();
        ReadServiceName(reader, unique, services, service);
        ReadLimits(reader, service);
        ReadConnectCost(reader, front.max_deadline, service);
        reader.Finish();
      });
  services.complete = services.complete && is_array;
  return services;
}

void ReadGenerations(ObjectReader& front_reader,
                     const ServiceList& services,
                     FrontConfig& front) {
  UniqueNames unique;
  NamedServices named;
  const bool is_array = front_reader.Each(
      "generations", [&](const JsonNode& element, std::string path) {
        ObjectReader reader(front_reader.document, element, std::move(path),
                            front_reader.errors);
        GenerationConfig& generation = front.generations.emplace_back();
        if (const auto number = reader.Required("number", ReadCount)) {
          unique.Check(reader, "number", std::to_string(*number), "generation");
          generation.number = *number;
        }
        ReadUnits(reader, services, named, generation);
        reader.Finish();
      });
  if (is_array && !front.generations.empty() && named.complete) {
    CheckEveryServiceNamed(front_reader.errors, services, named);
  }
}

void CheckOneService(ObjectReader& front_reader, const FrontConfig& front) {
  if (front.services.size() > 1) {
    front_reader.Fail("services", "a records front has one service",
                      "make a front for each service");
  }
}

}  // namespace knapweedroad
