// A limit for the requests that may run at once on a target that may be cold. A
// cold target, for example one that has just started or has empty caches, can
// run fewer requests at once than a warm one.
//
//   ColdStartRamp ramp({.slots = 6, .cold_slots = 1});
//   ramp.OnSuccess(latency, ramp.epoch(), now);
//   if (in_flight < ramp.limit()) ...
//
// The limit starts at the cold limit and rises by one for each window of
// successful answers with normal latency, up to the target's slots. It returns
// to the cold limit at the first evidence that the target is cold.
//
// The state that the target reports never raises the limit, since reports
// arrive late and may be wrong. "Ready" only permits the limit to rise, and
// without it the limit doesn't rise, since a cold target may answer quickly
// under a light load.

#ifndef KNAPWEEDROAD_ADMISSION_COLD_START_RAMP_H_
#define KNAPWEEDROAD_ADMISSION_COLD_START_RAMP_H_

#include <cstdint>

#include "knapweedroad/admission/latency_median.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class ColdStartRamp {
 public:
  struct Options {
    // Requests that the warm target can run at once; the upper bound of
    // limit().
    uint32_t slots = 1;
    // The limit while the target is cold. At least one, since a target that
    // receives no requests never warms up.
    uint32_t cold_slots = 1;
    // A window ends when it has at least this many successful answers and has
    // lasted at least this long.
    uint32_t min_window_answers = 8;
    Duration min_window_time = std::chrono::milliseconds(200);
    // A window whose median latency is above `warm_latency_factor` times the
    // baseline doesn't raise the limit. One above `cold_latency_factor` times
    // the baseline is evidence that the target is cold.
    double warm_latency_factor = 2.0;
    double cold_latency_factor = 5.0;
    // The longest time between the sending of a report and its arrival. For
    // this long after a reset, a "ready" report is ignored, since it may have
    // been sent before the reset.
    Duration max_report_age = std::chrono::seconds(1);
    // Each reset from above the cold limit doubles `min_window_answers` for the
    // following windows, up to this factor.
    uint32_t max_backoff_factor = 16;
  };

  explicit ColdStartRamp(const Options& options);

  // Records a successful answer to an attempt that started in `epoch`. An
  // answer from an earlier epoch is ignored, since it shows the target as it
  // was before the last reset.
  void OnSuccess(Duration latency, uint64_t epoch, TimePoint now);

  // Sets the limit back to the cold limit. For any evidence that the target is
  // cold, such as a shed request, a lost connection or an answer that says so.
  void ResetToCold(TimePoint now);

  // As ResetToCold(), for a report that the target is cold. Reports are
  // processed in order, so the next "ready" report was sent after this one and
  // isn't ignored.
  void ResetOnColdReport(TimePoint now);

  // As ResetToCold(), for a target that has restarted. Every later report comes
  // from the new process and counts at once.
  void OnTargetRestart(TimePoint now);

  // Records whether the target's latest report says that it is ready.
  void OnReport(bool ready, TimePoint now);

  // Records that the answer to an attempt that started in `epoch` says that the
  // target is ready.
  void OnReadyAnswer(uint64_t epoch);

  // Requests that may run at once: at least cold_limit(), at most the slots.
  uint32_t limit() const { return this->current_limit; }
  bool cold() const { return this->current_limit <= this->cold_limit(); }
  uint32_t cold_limit() const;

  // The number of resets so far. The caller stores it with each attempt that it
  // starts, and passes it to OnSuccess() and OnReadyAnswer().
  uint64_t epoch() const { return this->resets; }
  // How often the limit was raised.
  uint64_t raise_count() const { return this->raises; }

  // The target's usual latency: a running median of the windows' medians, kept
  // across resets. Zero until the first window ends.
  Duration baseline() const { return this->baseline_latency.median(); }

 private:
  void StartWindow(TimePoint now);
  void CloseWindow(TimePoint now);

  Options options;
  uint32_t current_limit;
  // Whether the last report or answer that counts said that the target is
  // ready.
  bool reported_ready = false;
  // "Ready" reports that arrive earlier are ignored.
  TimePoint reports_valid_from{};
  // Multiplies `min_window_answers`.
  uint32_t backoff_factor = 1;
  uint64_t resets = 0;
  uint64_t raises = 0;
  LatencyMedian baseline_latency;
  LatencyMedian window_latency;
  uint32_t window_answers = 0;
  TimePoint window_start{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_COLD_START_RAMP_H_
