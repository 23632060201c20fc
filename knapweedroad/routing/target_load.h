// How busy a target said it was, in its last answer.

#ifndef KNAPWEEDROAD_ROUTING_TARGET_LOAD_H_
#define KNAPWEEDROAD_ROUTING_TARGET_LOAD_H_

#include <cstdint>

namespace knapweedroad {

struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_TARGET_LOAD_H_
