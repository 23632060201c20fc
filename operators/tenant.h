// A tenant of a front and its share under overload.
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

// A class that a tenant doesn't name has weight 1.
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
