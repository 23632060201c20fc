// When the generator sends: each call at its planned time, however many are
// still unanswered.
//
//   OpenLoop loop(plan, run);
//   for (PlannedCall& call : loop.Due(elapsed)) Send(call);
//   SleepUntil(start + *loop.next_at());
//   ... loop.OnEnded() as each call ends
//
// If the process itself can't keep up, that is measured and never hidden in
// the latencies: those count from the planned time.

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

  // Every call that is due at `elapsed` since the run's start.
  std::vector<PlannedCall> Due(Duration elapsed);

  // When the next one is due; nothing after the last.
  std::optional<Duration> next_at() const;

  // A call that Due() gave has ended.
  void OnEnded() { --this->outstanding_calls; }

  uint32_t outstanding() const { return this->outstanding_calls; }
  uint32_t peak_outstanding() const { return this->peak_outstanding_calls; }
  // Calls that were due while too many were unanswered, and not sent.
  uint64_t skipped() const { return this->skipped_calls; }
  // How far the sends fell behind their planned times, at worst.
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
