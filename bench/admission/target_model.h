// One target in virtual time: its slots, its cold start, and its own count of
// what is on it.
//
//   TargetModel target(events, {.slots = 2, .cold_slots = 1});
//   target.Arrive({.service_time = 20ms, .done = answer});

#ifndef BENCH_ADMISSION_TARGET_MODEL_H_
#define BENCH_ADMISSION_TARGET_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>

#include "bench/query/event_queue.h"
#include "knapweedroad/admission/attempt_result.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad::bench {

struct TargetCounts {
  // The most on it at once, arrivals that it shed included.
  uint32_t most_while_warm = 0;
  uint32_t most_while_cold = 0;
  // Arrivals that found the slots, or the cold limit, taken.
  uint64_t above_slots = 0;
  uint64_t above_cold_limit = 0;
  // Of those, the ones sent before any host could have known of the fall.
  uint64_t above_unknowing = 0;
  // On it above the cold limit at the moment that it fell cold.
  uint64_t above_at_fall = 0;
};

class TargetModel {
 public:
  struct Options {
    uint32_t slots = 2;
    uint32_t cold_slots = 1;
    // A cold target is this much slower, and warm after so many answers.
    int cold_slowdown = 3;
    uint32_t answers_to_warm = 20;
    Duration down_time = std::chrono::milliseconds(100);
  };
  struct Arrival {
    uint64_t attempt = 0;
    TimePoint sent{};
    Duration service_time{};
    std::function<void(AttemptStatus)> done;
  };

  TargetModel(EventQueue& events, const Options& options)
      : events(events), options(options) {}

  void Arrive(Arrival arrival);
  void Cancel(uint64_t attempt);

  // Loses all that runs, is down for a while, and comes back cold.
  void Restart();
  // Goes cold in the midst of its work, and says nothing.
  void FallCold();

  // A host has got the first sign of the last fall or restart.
  void NoteEvidence();

  bool up() const { return this->is_up; }
  bool cold() const { return this->warmth < this->options.answers_to_warm; }
  uint64_t incarnation() const { return this->starts; }
  const TargetCounts& counts() const { return this->count; }

 private:
  void Finish(uint64_t attempt, uint64_t of_start, AttemptStatus status);
  uint32_t Limit() const;

  EventQueue& events;
  Options options;
  std::map<uint64_t, Arrival> running;
  bool is_up = true;
  uint32_t warmth = 0;
  uint64_t starts = 1;
  // From the start on, it is known to be cold.
  TimePoint evidence_from{};
  TargetCounts count;
};

}  // namespace knapweedroad::bench

#endif  // BENCH_ADMISSION_TARGET_MODEL_H_
