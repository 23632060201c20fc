#include "knapweedroad/base/log_limit.h"

#include <utility>

namespace knapweedroad {

std::optional<uint64_t> LogLimit::Admit(TimePoint now) {
  if (this->last_admitted && now - *this->last_admitted < this->interval) {
    ++this->left_out;
    return std::nullopt;
  }
  this->last_admitted = now;
  return std::exchange(this->left_out, 0);
}

}  // namespace knapweedroad
