// A service: the searchers of one shard.
//
//   constexpr Capacity kSearcher(
//       {.slots = Slots(2), .connections = Connections(25)});
//   const auto services = NumberedServices(
//       ServiceCount(10), Service{.name = "redactie",
//                                 .searchers = Searchers(3),
//                                 .capacity = kSearcher,
//                                 .connect_cost = 6ms});

#ifndef OPERATORS_SERVICE_H_
#define OPERATORS_SERVICE_H_

#include "knapweedroad/base/time.h"
#include "operators/capacity.h"
#include "operators/count.h"
#include "operators/name.h"
#include "operators/one_or_more.h"

namespace knapweedroad::operators {

struct Service {
  Name name;
  // The number of searchers that are expected to announce themselves.
  Searchers searchers;
  Capacity capacity;
  // The time that opening a connection takes.
  Duration connect_cost{};
};

// Returns `count` copies of `prototype`, named "NAME-1" to "NAME-COUNT" after
// the prototype's name.
OneOrMore<Service> NumberedServices(ServiceCount count,
                                    const Service& prototype);

}  // namespace knapweedroad::operators

#endif  // OPERATORS_SERVICE_H_
