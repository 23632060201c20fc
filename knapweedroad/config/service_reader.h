// Reads a front's services and the generations that share the index among them.

#ifndef KNAPWEEDROAD_CONFIG_SERVICE_READER_H_
#define KNAPWEEDROAD_CONFIG_SERVICE_READER_H_

#include <functional>
#include <map>
#include <string>

#include "knapweedroad/config/json_node.h"

namespace knapweedroad {

class ObjectReader;
struct FrontConfig;

// The names of a front's services, each with where it stands.
struct ServiceList {
  std::map<std::string, JsonPosition, std::less<>> places;
  // By the same names.
  std::map<std::string, std::string, std::less<>> paths;
  // Every name could be read: only then is a name that isn't here unknown.
  bool complete = true;
};

ServiceList ReadServices(ObjectReader& front_reader, FrontConfig& front);

// Reports services that no generation names, and names of no service.
void ReadGenerations(ObjectReader& front_reader,
                     const ServiceList& services,
                     FrontConfig& front);

// A records front asks one target of its one service.
void CheckOneService(ObjectReader& front_reader, const FrontConfig& front);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_SERVICE_READER_H_
