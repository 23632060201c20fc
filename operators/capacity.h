// What one searcher bears.
//
//   Capacity({.slots = Slots(2), .connections = Connections(25)})
//
// More slots than connections, or more cold slots than slots, don't compile.

#ifndef OPERATORS_CAPACITY_H_
#define OPERATORS_CAPACITY_H_

#include "operators/count.h"

namespace knapweedroad::operators {

inline constexpr ColdSlots kDefaultColdSlots(1);

struct CapacityOptions {
  // Requests at once.
  Slots slots;
  // Connections at once, from all hosts together.
  Connections connections;
  // Requests at once in a cold start.
  ColdSlots cold_slots = kDefaultColdSlots;
};

class Capacity {
 public:
  explicit consteval Capacity(CapacityOptions options) : options(options) {
    if (options.slots.value() > options.connections.value()) {
      throw "each slot needs a connection";
    }
    if (options.cold_slots.value() > options.slots.value()) {
      throw "a searcher in a cold start has no more slots than a warm one";
    }
  }

  constexpr uint32_t slots() const { return this->options.slots.value(); }
  constexpr uint32_t connections() const {
    return this->options.connections.value();
  }
  constexpr uint32_t cold_slots() const {
    return this->options.cold_slots.value();
  }

 private:
  CapacityOptions options;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_CAPACITY_H_
