// A partition generation: which service holds how much of the index.
//
//   Generation{.number = GenerationNumber(1),
//              .units = EqualUnits(services, Units(10))}
//
// It holds the services themselves. A front has just the services of its
// generations, so that none can be in no generation, and no generation can
// name one that isn't there.

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

// The same number of units for each service.
OneOrMore<ServiceUnits> EqualUnits(const OneOrMore<Service>& services,
                                   Units units_per_service);

}  // namespace knapweedroad::operators

#endif  // OPERATORS_GENERATION_H_
