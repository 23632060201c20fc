#include "knapweedroad/routing/answer_lead_time.h"

#include <algorithm>
#include <cstdint>

namespace knapweedroad {

AnswerLeadTime::AnswerLeadTime(AnswerLeadTimeOptions options)
    : options(options) {
  this->samples.fill(options.initial_send_time);
}

void AnswerLeadTime::OnSent(Duration send_time) {
  this->samples[this->next_sample] =
      std::min(send_time, this->options.max_send_time);
  this->next_sample = (this->next_sample + 1) % kSampleCount;
}

Duration AnswerLeadTime::Get(size_t part_count) const {
  const Duration parts_time =
      this->options.time_per_part * static_cast<int64_t>(part_count);
  return this->options.round_trip +
         std::min(parts_time, this->options.max_parts_time) +
         *std::ranges::max_element(this->samples);
}

}  // namespace knapweedroad
