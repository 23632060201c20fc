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
    : options(options), current(1) {
  this->options.slots = std::max<uint32_t>(options.slots, 1);
  this->current = this->cold_limit();
}

uint32_t ColdStartRamp::cold_limit() const {
  return std::clamp<uint32_t>(this->options.cold_slots, 1, this->options.slots);
}

void ColdStartRamp::OnCleanAnswer(Duration latency,
                                  uint64_t epoch,
                                  TimePoint now) {
  if (epoch != this->falls) {
    return;
  }
  if (this->window_count == 0) {
    this->StartWindow(now);
  }
  this->window.Add(latency);
  ++this->window_count;
  const uint32_t needed = this->options.window_answers * this->patience;
  const bool full = this->window_count >= needed &&
                    now - this->window_start >= this->options.window_time;
  if (full) {
    this->CloseWindow(now);
  }
}

void ColdStartRamp::StartWindow(TimePoint now) {
  this->window = LatencyBaseline();
  this->window_count = 0;
  this->window_start = now;
}

// A whole window far above the baseline is a target that fell cold without a
// word (its caches are empty); single stragglers don't move a median.
void ColdStartRamp::CloseWindow(TimePoint now) {
  const Duration median = this->window.median();
  const Duration baseline = this->usual.median();
  const bool first = baseline == Duration::zero();
  const bool slow =
      !first && median > Scaled(baseline, this->options.cold_factor);
  const bool clean =
      first || median <= Scaled(baseline, this->options.clean_factor);
  const bool was_cold = this->cold();
  this->usual.Add(median);
  this->StartWindow(now);
  if (slow && !was_cold) {
    this->Fall(now);
    return;
  }
  if (!clean || !this->said_ready) {
    return;
  }
  if (this->current < this->options.slots) {
    ++this->current;
    ++this->steps;
  } else {
    this->patience = 1;
  }
}

void ColdStartRamp::FallOnReport(TimePoint now) {
  const TimePoint believe_from = this->believe_reports_from;
  this->Fall(now);
  this->believe_reports_from = believe_from;
}

void ColdStartRamp::Restarted(TimePoint now) {
  this->Fall(now);
  this->believe_reports_from = now;
}

void ColdStartRamp::OnReported(bool ready, TimePoint now) {
  this->said_ready = ready && now >= this->believe_reports_from;
}

void ColdStartRamp::OnAnsweredReady(uint64_t epoch) {
  this->said_ready = this->said_ready || epoch == this->falls;
}

void ColdStartRamp::Fall(TimePoint now) {
  ++this->falls;
  if (!this->cold()) {
    this->patience = std::min(this->patience * 2, this->options.most_patience);
  }
  this->said_ready = false;
  this->believe_reports_from = now + this->options.report_lag;
  this->current = this->cold_limit();
  this->StartWindow(now);
}

}  // namespace knapweedroad
