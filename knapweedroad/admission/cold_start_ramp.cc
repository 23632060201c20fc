#include "knapweedroad/admission/cold_start_ramp.h"

#include <algorithm>

namespace knapweedroad {
namespace {

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

ColdStartRamp::ColdStartRamp(const Options& options)
    : options(options), current_limit(1) {
  this->options.slots = std::max<uint32_t>(options.slots, 1);
  this->current_limit = this->cold_limit();
}

uint32_t ColdStartRamp::cold_limit() const {
  return std::clamp<uint32_t>(this->options.cold_slots, 1, this->options.slots);
}

void ColdStartRamp::OnSuccess(Duration latency, uint64_t epoch, TimePoint now) {
  if (epoch != this->resets) {
    return;
  }
  if (this->window_answers == 0) {
    this->StartWindow(now);
  }
  this->window_latency.Add(latency);
  ++this->window_answers;
  const uint32_t needed =
      this->options.min_window_answers * this->backoff_factor;
  const bool complete =
      this->window_answers >= needed &&
      now - this->window_start >= this->options.min_window_time;
  if (complete) {
    this->CloseWindow(now);
  }
}

void ColdStartRamp::StartWindow(TimePoint now) {
  this->window_latency = LatencyMedian();
  this->window_answers = 0;
  this->window_start = now;
}

// A window with a median far above the baseline shows that the target became
// cold without reporting it, for example because its caches are empty. Single
// slow answers don't move the median.
void ColdStartRamp::CloseWindow(TimePoint now) {
  const Duration median = this->window_latency.median();
  const Duration baseline = this->baseline_latency.median();
  const bool first = baseline == Duration::zero();
  const bool slow =
      !first && median > Scaled(baseline, this->options.cold_latency_factor);
  const bool warm =
      first || median <= Scaled(baseline, this->options.warm_latency_factor);
  const bool was_cold = this->cold();
  this->baseline_latency.Add(median);
  this->StartWindow(now);
  if (slow && !was_cold) {
    this->ResetToCold(now);
    return;
  }
  if (!warm || !this->reported_ready) {
    return;
  }
  if (this->current_limit < this->options.slots) {
    ++this->current_limit;
    ++this->raises;
  } else {
    this->backoff_factor = 1;
  }
}

void ColdStartRamp::ResetOnColdReport(TimePoint now) {
  const TimePoint valid_from = this->reports_valid_from;
  this->ResetToCold(now);
  this->reports_valid_from = valid_from;
}

void ColdStartRamp::OnTargetRestart(TimePoint now) {
  this->ResetToCold(now);
  this->reports_valid_from = now;
}

void ColdStartRamp::OnReport(bool ready, TimePoint now) {
  this->reported_ready = ready && now >= this->reports_valid_from;
}

void ColdStartRamp::OnReadyAnswer(uint64_t epoch) {
  this->reported_ready = this->reported_ready || epoch == this->resets;
}

void ColdStartRamp::ResetToCold(TimePoint now) {
  ++this->resets;
  if (!this->cold()) {
    this->backoff_factor =
        std::min(this->backoff_factor * 2, this->options.max_backoff_factor);
  }
  this->reported_ready = false;
  this->reports_valid_from = now + this->options.max_report_age;
  this->current_limit = this->cold_limit();
  this->StartWindow(now);
}

}  // namespace knapweedroad
