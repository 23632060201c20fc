// The load that a target reports with an answer or a refusal.

#ifndef KNAPWEEDROAD_ROUTING_TARGET_LOAD_H_
#define KNAPWEEDROAD_ROUTING_TARGET_LOAD_H_

#include <cstdint>

namespace knapweedroad {

struct TargetLoad {
  // Requests that the target is running.
  uint32_t running = 0;
  // Requests in the target's queue.
  uint32_t waiting = 0;
  // Requests that the target can run at once.
  uint32_t slots = 0;
  // How long work takes on the target's machine at the moment, in percent of
  // the usual; zero if it wasn't reported.
  uint32_t service_time_percent = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_TARGET_LOAD_H_
