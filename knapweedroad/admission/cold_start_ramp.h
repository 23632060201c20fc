// How many requests a target bears now, from evidence: its cold limit at first,
// one step more for each window of clean answers, and back to the cold
// limit at the first sign that it is cold.
//
//   ColdStartRamp ramp({.slots = 6, .cold_slots = 1});
//   ramp.OnSuccess(latency, ramp.epoch(), now);
//   if (in_flight < ramp.limit()) ...
//
// What the target says can only lower the limit: reports lag and may mislead,
// so that "ready" permits the ramp but is no step of it. Without that word
// there is no step either, as a cold target may answer a light load quickly.

#ifndef KNAPWEEDROAD_ADMISSION_COLD_START_RAMP_H_
#define KNAPWEEDROAD_ADMISSION_COLD_START_RAMP_H_

#include <cstdint>

#include "knapweedroad/admission/latency_median.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class ColdStartRamp {
 public:
  struct Options {
    uint32_t slots = 1;
    // At least one: a target that gets nothing never warms.
    uint32_t cold_slots = 1;
    // A window is over after this many clean answers and this much
    // time.
    uint32_t min_window_answers = 8;
    Duration min_window_time = std::chrono::milliseconds(200);
    // A window whose median is above this multiple of the baseline is
    // no evidence of warmth; above the second one, it is evidence of cold.
    double warm_latency_factor = 2.0;
    double cold_latency_factor = 5.0;
    // Reports may be so old when they come in: for so long after a fall, one
    // that says "ready" may be of before it.
    Duration max_report_age = std::chrono::seconds(1);
    // A step that is followed by a fall was wrong, and doubles the answers
    // that the next window needs, up to this many times the first
    // number.
    uint32_t max_backoff_factor = 16;
  };

  explicit ColdStartRamp(const Options& options);

  // An answer to an attempt begun in `epoch`. One begun before the last fall
  // says nothing of the target as it is now and is passed over.
  void OnSuccess(Duration latency, uint64_t epoch, TimePoint now);

  // Any evidence of cold: a shed, a new incarnation, the target's own word.
  void ResetToCold(TimePoint now);

  // Its report says that it is cold: reports are in order, so that the next
  // "ready" is of after this.
  void ResetOnColdReport(TimePoint now);

  // The target has started anew: its reports from now on are of after that,
  // however old they are.
  void OnTargetRestart(TimePoint now);

  // The target's report says whether it is ready for its slots.
  void OnReport(bool ready, TimePoint now);

  // An answer to an attempt begun in `epoch` says that it is ready.
  void OnReadyAnswer(uint64_t epoch);

  // Requests at once, between the cold limit and the slots.
  uint32_t limit() const { return this->current_limit; }
  bool cold() const { return this->current_limit <= this->cold_limit(); }
  uint32_t cold_limit() const;

  // Counts the resets; an attempt is stamped with it at its start.
  uint64_t epoch() const { return this->resets; }
  uint64_t raise_count() const { return this->raises; }

  // The target's usual latency, kept over resets; zero before any
  // answer.
  Duration baseline() const { return this->baseline_latency.median(); }

 private:
  void StartWindow(TimePoint now);
  void CloseWindow(TimePoint now);

  Options options;
  uint32_t current_limit;
  // The target's last word, as far as it counts, is that it is ready.
  bool reported_ready = false;
  TimePoint reports_valid_from{};
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
