#include "knapweedroad/query/token_budget.h"

#include <algorithm>

namespace knapweedroad {

TokenBudget::TokenBudget(TokenBudgetOptions options)
    : options(options), tokens(options.burst) {}

void TokenBudget::OnFirstAttempt() {
  if (this->is_suspended) {
    return;
  }
  this->tokens =
      std::min(this->options.burst, this->tokens + this->options.share);
}

bool TokenBudget::CanTake(bool urgent) const {
  const double reserved = urgent ? 0.0 : this->options.burst / 2;
  return !this->is_suspended && this->tokens >= 1.0 + reserved;
}

bool TokenBudget::TryTake() {
  if (!this->CanTake()) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

void TokenBudget::Refund() {
  this->tokens = std::min(this->options.burst, this->tokens + 1.0);
}

void TokenBudget::SetSuspended(bool suspended) {
  this->is_suspended = suspended;
}

}  // namespace knapweedroad
