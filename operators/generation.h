// A partition generation: the units of the index that each service holds.
//
//   Generation{.number = GenerationNumber(1),
//              .units = EqualUnits(services, Units(10))}
//
// A generation contains its services by value. A search front has exactly the
// services of its generations, so every service belongs to a generation and no
// generation can refer to a missing service.

#ifndef OPERATORS_GENERATION_H_
#define OPERATORS_GENERATION_H_

#include "operators/count.h"
#include "operators/one_or_more.h"
#include "operators/service.h"

namespace knapweedroad::operators {

struct ServiceUnits {
  Service service;
  Units units;
};

struct Generation {
  GenerationNumber number;
  OneOrMore<ServiceUnits> units;
};

// Returns an entry with `units_per_service` units for each service.
OneOrMore<ServiceUnits> EqualUnits(const OneOrMore<Service>& services,
                                   Units units_per_service);

}  // namespace knapweedroad::operators

#endif  // OPERATORS_GENERATION_H_
