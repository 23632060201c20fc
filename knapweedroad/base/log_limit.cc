#include "knapweedroad/base/log_limit.h"

#include <utility>

namespace knapweedroad {

std::optional<uint64_t> LogLimit::Admit(TimePoint now) {
  if (this->IsLimited(now)) {
    ++this->left_out;
    return std::nullopt;
  }
  this->last_admitted = now;
  return std::exchange(this->left_out, 0);
}

bool LogLimit::HasLeftOut(TimePoint now) const {
  return this->left_out > 0 && !this->IsLimited(now);
}

bool LogLimit::IsLimited(TimePoint now) const {
  return this->last_admitted && now - *this->last_admitted < this->interval;
}

}  // namespace knapweedroad
