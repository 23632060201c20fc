#include "operators/generation.h"

namespace knapweedroad::operators {

OneOrMore<ServiceUnits> EqualShares(const OneOrMore<Service>& services,
                                    Units each) {
  auto service = services.begin();
  OneOrMore<ServiceUnits> units(ServiceUnits{*service, each});
  for (++service; service != services.end(); ++service) {
    units.Add(ServiceUnits{*service, each});
  }
  return units;
}

}  // namespace knapweedroad::operators
