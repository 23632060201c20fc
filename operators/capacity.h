// The number of requests and connections that one searcher can handle at once.
//
//   Capacity({.slots = Slots(2), .connections = Connections(25)})
//
// A capacity with more slots than connections, or with more cold slots than
// slots, doesn't compile.

#ifndef OPERATORS_CAPACITY_H_
#define OPERATORS_CAPACITY_H_

#include "operators/count.h"

namespace knapweedroad::operators {

inline constexpr ColdSlots kDefaultColdSlots(1);

struct CapacityOptions {
  // Concurrent requests.
  Slots slots;
  // Concurrent connections, summed over all hosts.
  Connections connections;
  // Concurrent requests during a cold start.
  ColdSlots cold_slots = kDefaultColdSlots;
};

class Capacity {
 public:
  explicit consteval Capacity(CapacityOptions options) : options(options) {
    if (options.slots.value() > options.connections.value()) {
      throw "a searcher needs at least as many connections as slots";
    }
    if (options.cold_slots.value() > options.slots.value()) {
      throw "cold_slots must not exceed slots";
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
