// One service of a front: a shard's searchers and what each of them bears.

#ifndef KNAPWEEDROAD_CONFIG_SERVICE_CONFIG_H_
#define KNAPWEEDROAD_CONFIG_SERVICE_CONFIG_H_

#include <cstdint>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct ServiceConfig {
  ServiceId name;
  // Searchers expected to announce themselves. Only for `status`: coverage
  // never depends on it.
  uint32_t searchers = 0;
  // Requests that one searcher runs at once.
  uint32_t slots = 0;
  // Connections that one searcher accepts, from all hosts together.
  uint32_t connections = 0;
  // Requests that one searcher in a cold start runs at once.
  uint32_t cold_slots = 1;
  // What opening a connection costs.
  Duration connect_cost{};

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_SERVICE_CONFIG_H_
