// A simulation of entry hosts and targets of one service in virtual time, for
// tests and experiments. Runs the real load balancers. Equal loads give equal
// results.
//
//   SimulationResult result = RunTargetSimulation(
//       {.slowness = [](size_t target, Duration) { return target == 0 ? 2 : 1;
//       }});

#ifndef KNAPWEEDROAD_ROUTING_TARGET_SIMULATION_H_
#define KNAPWEEDROAD_ROUTING_TARGET_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_record.h"

namespace knapweedroad {

inline const TimePoint kSimulationStart{std::chrono::seconds(1000)};
inline const ServiceId kSimulatedService("s");
// The requests that a target runs at once.
inline constexpr size_t kSimulatedSlots = 4;

// A load of entry hosts on targets of one service.
struct SimulatedLoad {
  size_t hosts = 4;
  double rate_per_host = 60;
  size_t targets = 7;
  Duration duration = std::chrono::seconds(30);
  // The service time of a target relative to that of a normal machine.
  std::function<double(size_t target, Duration at)> slowness;
  // The percentage that a target reports; empty for the true one.
  std::function<uint32_t(size_t target, Duration at)> reported;
  bool reports_service_time = true;
  // How long a target keeps an idle connection; zero if for ever.
  Duration keep_alive{};
  uint64_t seed = 1;
};

struct SimulationResult {
  std::vector<size_t> sent_by_target;
  size_t sent = 0;
  size_t answered = 0;
  // Sent to a target at a time when its machine was slow.
  size_t sent_to_slow = 0;
  size_t longest_queue = 0;
  size_t new_connections = 0;
  double mean_ms = 0;
  double p95_ms = 0;

  double SlowShare() const {
    return static_cast<double>(this->sent_to_slow) /
           static_cast<double>(this->sent);
  }
};

// Returns the record of a target. IDs are unique by `index`.
TargetRecord SimulatedRecord(size_t index);

// Runs until all requests that arrive within the duration are answered.
SimulationResult RunTargetSimulation(const SimulatedLoad& load);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_TARGET_SIMULATION_H_
