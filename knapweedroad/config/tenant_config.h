// A tenant of a front and its share of what the front can do.

#ifndef KNAPWEEDROAD_CONFIG_TENANT_CONFIG_H_
#define KNAPWEEDROAD_CONFIG_TENANT_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

struct TenantConfig {
  TenantId name;
  // Relative share under overload, above zero.
  uint32_t weight = 1;
  // Relative share of each class inside the tenant's own; a class that isn't
  // named here has weight 1.
  std::map<std::string, uint32_t> class_weights;

  friend bool operator==(const TenantConfig&, const TenantConfig&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_TENANT_CONFIG_H_
