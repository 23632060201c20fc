#include "knapweedroad/query/token_budget.h"

#include <algorithm>

namespace knapweedroad {

TokenBudget::TokenBudget(TokenBudgetOptions options)
    : options(options), tokens(options.burst) {}

void TokenBudget::OnFirstTry() {
  if (this->is_suspended) {
    return;
  }
  this->tokens =
      std::min(this->options.burst, this->tokens + this->options.share);
}

bool TokenBudget::CanTake(bool urgent) const {
  const double kept = urgent ? 0.0 : this->options.burst / 2;
  return !this->is_suspended && this->tokens >= 1.0 + kept;
}

bool TokenBudget::Take() {
  if (!this->CanTake()) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

void TokenBudget::GiveBack() {
  this->tokens = std::min(this->options.burst, this->tokens + 1.0);
}

void TokenBudget::SetSuspended(bool suspended) {
  this->is_suspended = suspended;
}

}  // namespace knapweedroad
