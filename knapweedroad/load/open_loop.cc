#include "knapweedroad/load/open_loop.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/load/load_plan.h"

namespace knapweedroad {

OpenLoop::OpenLoop(const LoadPlan& plan, std::string run)
    : source(plan, std::move(run)),
      next(this->source.Next()),
      max_outstanding(plan.max_outstanding) {}

std::vector<PlannedCall> OpenLoop::Due(Duration elapsed) {
  std::vector<PlannedCall> due;
  while (this->next && this->next->at <= elapsed) {
    this->max_lag = std::max(this->max_lag, elapsed - this->next->at);
    if (this->outstanding_calls >= this->max_outstanding) {
      ++this->skipped_calls;
    } else {
      ++this->outstanding_calls;
      due.push_back(std::move(*this->next));
    }
    this->next = this->source.Next();
  }
  this->peak_outstanding_calls =
      std::max(this->peak_outstanding_calls, this->outstanding_calls);
  return due;
}

std::optional<Duration> OpenLoop::next_at() const {
  if (!this->next) {
    return std::nullopt;
  }
  return this->next->at;
}

}  // namespace knapweedroad
