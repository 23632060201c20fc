#include "knapweedroad/routing/answer_lead.h"

#include <algorithm>

namespace knapweedroad {

AnswerLead::AnswerLead(AnswerLeadOptions options) : options(options) {
  this->seen.fill(options.first_finish);
}

void AnswerLead::OnSent(Duration finish) {
  this->seen[this->next] = std::min(finish, this->options.longest_finish);
  this->next = (this->next + 1) % kRemembered;
}

Duration AnswerLead::Get() const {
  return this->options.way + *std::ranges::max_element(this->seen);
}

}  // namespace knapweedroad
