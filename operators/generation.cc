#include "operators/generation.h"

namespace knapweedroad::operators {

OneOrMore<ServiceUnits> EqualUnits(const OneOrMore<Service>& services,
                                   Units units_per_service) {
  auto service = services.begin();
  OneOrMore<ServiceUnits> units(ServiceUnits{*service, units_per_service});
  for (++service; service != services.end(); ++service) {
    units.Add(ServiceUnits{*service, units_per_service});
  }
  return units;
}

}  // namespace knapweedroad::operators
