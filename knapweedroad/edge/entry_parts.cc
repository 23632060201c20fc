#include "knapweedroad/edge/entry_parts.h"

namespace knapweedroad {

uint64_t EntryParts::NextToken() {
  if (this->last_token == 0) {
    this->last_token = (uint64_t{this->random()} << 32) ^ this->random();
  }
  return ++this->last_token;
}

RetryBudget& EntryParts::BudgetOf(const ServiceId& service) {
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    return found->second;
  }
  return this->budgets
      .try_emplace(service, this->budget_limits, this->started,
                   std::uniform_real_distribution<double>(0, 1)(this->random))
      .first->second;
}

}  // namespace knapweedroad
