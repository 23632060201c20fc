#include "knapweedroad/routing/answer_lead.h"

#include <algorithm>
#include <cstdint>

namespace knapweedroad {

AnswerLead::AnswerLead(AnswerLeadOptions options) : options(options) {
  this->seen.fill(options.first_finish);
}

void AnswerLead::OnSent(Duration finish) {
  this->seen[this->next] = std::min(finish, this->options.longest_finish);
  this->next = (this->next + 1) % kRemembered;
}

Duration AnswerLead::Get(size_t parts) const {
  const Duration for_parts = this->options.part * static_cast<int64_t>(parts);
  return this->options.way + std::min(for_parts, this->options.longest_parts) +
         *std::ranges::max_element(this->seen);
}

}  // namespace knapweedroad
