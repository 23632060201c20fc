// Schedules calls in an open loop: each call is due at its planned time,
// regardless of unanswered calls, up to the plan's `max_outstanding`.
//
//   OpenLoop loop(plan, run);
//   for (PlannedCall& call : loop.Due(elapsed)) Send(call);
//   SleepUntil(start + *loop.next_at());
//   ... loop.OnEnded() as each call ends
//
// Latencies count from the planned time, and worst_lag() reports the
// generator's own delay, so that a generator that falls behind does not hide
// latency.

#ifndef KNAPWEEDROAD_LOAD_OPEN_LOOP_H_
#define KNAPWEEDROAD_LOAD_OPEN_LOOP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/load/call_source.h"

namespace knapweedroad {

class OpenLoop {
 public:
  OpenLoop(const LoadPlan& plan, std::string run);

  // Returns the calls that became due by `elapsed` since the start of the run,
  // except those over `max_outstanding`.
  std::vector<PlannedCall> Due(Duration elapsed);

  // Returns when the next call is due, or nullopt after the last one.
  std::optional<Duration> next_at() const;

  // Records that a call returned by Due() has ended.
  void OnEnded() { --this->outstanding_calls; }

  uint32_t outstanding() const { return this->outstanding_calls; }
  uint32_t peak_outstanding() const { return this->peak_outstanding_calls; }
  // Number of calls not sent because `max_outstanding` calls were unanswered.
  uint64_t skipped() const { return this->skipped_calls; }
  // Maximum delay of a call behind its planned time.
  Duration worst_lag() const { return this->max_lag; }

 private:
  CallSource source;
  std::optional<PlannedCall> next;
  uint32_t max_outstanding;
  uint32_t outstanding_calls = 0;
  uint32_t peak_outstanding_calls = 0;
  uint64_t skipped_calls = 0;
  Duration max_lag{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_OPEN_LOOP_H_
