// A tenant (client account) of a front, with its weight among the tenants under
// overload.
//
//   Tenant{.name = "radio",
//          .weight = Weight(5),
//          .classes = {ClassWeight{.name = "urgent", .weight = Weight(4)}}}

#ifndef OPERATORS_TENANT_H_
#define OPERATORS_TENANT_H_

#include <vector>

#include "operators/count.h"
#include "operators/name.h"

namespace knapweedroad::operators {

inline constexpr Weight kDefaultWeight(1);

// The weight of a request class among the classes of its tenant. A class that
// isn't listed has weight 1.
struct ClassWeight {
  Name name;
  Weight weight;
};

struct Tenant {
  Name name;
  Weight weight = kDefaultWeight;
  std::vector<ClassWeight> classes = {};
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_TENANT_H_
