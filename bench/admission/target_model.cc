#include "bench/admission/target_model.h"

#include <algorithm>
#include <utility>

namespace knapweedroad::bench {
namespace {

constexpr Duration kShedTime = std::chrono::microseconds(200);

}  // namespace

uint32_t TargetModel::Limit() const {
  return this->cold() ? this->options.cold_slots : this->options.slots;
}

void TargetModel::Arrive(Arrival arrival) {
  if (!this->is_up) {
    arrival.done(AttemptStatus::kConnectFailed);
    return;
  }
  const uint64_t attempt = arrival.attempt;
  const TimePoint sent = arrival.sent;
  const bool above = this->running.size() >= this->Limit();
  const Duration service =
      arrival.service_time * (this->cold() ? this->options.cold_slowdown : 1);
  this->running.emplace(attempt, std::move(arrival));
  const auto on_it = static_cast<uint32_t>(this->running.size());
  uint32_t& most =
      this->cold() ? this->count.most_while_cold : this->count.most_while_warm;
  most = std::max(most, on_it);
  if (above) {
    ++(this->cold() ? this->count.above_cold_limit : this->count.above_slots);
    const bool unknowing = sent <= this->evidence_from;
    this->count.above_unknowing += this->cold() && unknowing ? 1 : 0;
  }
  const AttemptStatus status =
      above ? AttemptStatus::kShed : AttemptStatus::kOk;
  const uint64_t of_start = this->starts;
  this->events.Post(above ? kShedTime : service,
                    [=, this] { this->Finish(attempt, of_start, status); });
}

void TargetModel::Finish(uint64_t attempt,
                         uint64_t of_start,
                         AttemptStatus status) {
  const auto found = this->running.find(attempt);
  if (of_start != this->starts || found == this->running.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  this->running.erase(found);
  this->warmth += status == AttemptStatus::kOk ? 1 : 0;
  done(status);
}

void TargetModel::Cancel(uint64_t attempt) {
  this->Finish(attempt, this->starts, AttemptStatus::kCancelled);
}

void TargetModel::Restart() {
  const auto lost = std::move(this->running);
  this->running.clear();
  ++this->starts;
  this->warmth = 0;
  this->evidence_from = TimePoint::max();
  this->is_up = false;
  for (const auto& [attempt, arrival] : lost) {
    arrival.done(AttemptStatus::kConnectionLost);
  }
  this->events.Post(this->options.down_time, [this] { this->is_up = true; });
}

void TargetModel::NoteEvidence() {
  if (this->evidence_from == TimePoint::max()) {
    this->evidence_from = this->events.now();
  }
}

void TargetModel::FallCold() {
  this->warmth = 0;
  this->evidence_from = TimePoint::max();
  const auto on_it = static_cast<uint32_t>(this->running.size());
  this->count.above_at_fall +=
      on_it - std::min(on_it, this->options.cold_slots);
}

}  // namespace knapweedroad::bench
