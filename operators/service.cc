#include "operators/service.h"

namespace knapweedroad::operators {
namespace {

Service WithNumber(Service service, uint32_t number) {
  service.name = service.name.WithNumber(number);
  return service;
}

}  // namespace

OneOrMore<Service> NumberedServices(ServiceCount count,
                                    const Service& prototype) {
  OneOrMore<Service> services(WithNumber(prototype, 1));
  for (uint32_t number = 2; number <= count.value(); ++number) {
    services.Add(WithNumber(prototype, number));
  }
  return services;
}

}  // namespace knapweedroad::operators
