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
    this->lag = std::max(this->lag, elapsed - this->next->at);
    if (this->running >= this->max_outstanding) {
      ++this->left_out;
    } else {
      ++this->running;
      due.push_back(std::move(*this->next));
    }
    this->next = this->source.Next();
  }
  this->peak = std::max(this->peak, this->running);
  return due;
}

std::optional<Duration> OpenLoop::next_at() const {
  if (!this->next) {
    return std::nullopt;
  }
  return this->next->at;
}

}  // namespace knapweedroad
