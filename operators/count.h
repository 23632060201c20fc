// Counts that can't be 0 and can't be mixed up.
//
//   Slots(2), Connections(25)   // Slots(0) doesn't compile

#ifndef OPERATORS_COUNT_H_
#define OPERATORS_COUNT_H_

#include <cstdint>

namespace knapweedroad::operators {

// `Tag` only tells the kinds apart.
template <typename Tag>
class Count {
 public:
  explicit consteval Count(uint32_t number) : number(number) {
    if (number == 0) {
      throw "a count is at least 1";
    }
  }

  constexpr uint32_t value() const { return this->number; }

 private:
  uint32_t number;
};

using Searchers = Count<struct SearchersTag>;      // of one service
using Slots = Count<struct SlotsTag>;              // of one searcher
using ColdSlots = Count<struct ColdSlotsTag>;      // of one in a cold start
using Connections = Count<struct ConnectionsTag>;  // of one searcher
using Weight = Count<struct WeightTag>;            // of a tenant or class
using Units = Count<struct UnitsTag>;              // equal parts of an index
using GenerationNumber = Count<struct GenerationNumberTag>;
using ServiceCount = Count<struct ServiceCountTag>;

}  // namespace knapweedroad::operators

#endif  // OPERATORS_COUNT_H_
