// Positive integer counts. Each kind is a type of its own, so that one can't be
// passed where another is expected.
//
//   Slots(2), Connections(25)   // Slots(0) doesn't compile

#ifndef OPERATORS_COUNT_H_
#define OPERATORS_COUNT_H_

#include <cstdint>

namespace knapweedroad::operators {

// A compile-time constant of at least 1. `Tag` distinguishes the kinds.
template <typename Tag>
class Count {
 public:
  explicit consteval Count(uint32_t number) : number(number) {
    if (number == 0) {
      throw "a count must be at least 1";
    }
  }

  constexpr uint32_t value() const { return this->number; }

 private:
  uint32_t number;
};

using Searchers = Count<struct SearchersTag>;  // per service
using Slots = Count<struct SlotsTag>;          // per searcher
using ColdSlots = Count<struct ColdSlotsTag>;  // per searcher in a cold start
using Connections = Count<struct ConnectionsTag>;  // per searcher
using Weight = Count<struct WeightTag>;            // of a tenant or a class
using Units = Count<struct UnitsTag>;  // equal-sized parts of an index
using GenerationNumber = Count<struct GenerationNumberTag>;
using ServiceCount = Count<struct ServiceCountTag>;

}  // namespace knapweedroad::operators

#endif  // OPERATORS_COUNT_H_
