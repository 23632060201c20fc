#include "knapweedroad/routing/answer_lead.h"

#include <criterion/criterion.h>

#include <array>

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr AnswerLeadOptions kOptions{.way = 7ms,
                                     .first_finish = 4ms,
                                     .longest_finish = 15ms};

// Answers on a host where finishing takes 3 to 6 ms, in turn.
constexpr std::array<Duration, 4> kSlowHost{3ms, 6ms, 4ms, 5ms};

// Guards against answers that leave a slow host just too late to be in time.
Test(answer_lead, answers_of_a_slow_host_are_in_time) {
  AnswerLead lead(kOptions);
  size_t late = 0;
  for (int i = 0; i < 40; ++i) {
    const Duration finish = kSlowHost[i % kSlowHost.size()];
    late += lead.Get(0) < kOptions.way + finish ? 1 : 0;
    lead.OnSent(finish);
  }
  // The first long one can't be known.
  cr_expect(late <= 1);
}

// Guards against parts left out for time that a fast host doesn't need.
Test(answer_lead, a_fast_host_waits_nearly_to_the_end) {
  AnswerLead lead(kOptions);
  for (int i = 0; i < 100; ++i) {
    lead.OnSent(50us);
  }
  cr_expect(lead.Get(0) < kOptions.way + 100us);
}

// Guards against answers without their parts after a process stood still.
Test(answer_lead, a_standstill_is_not_planned_for) {
  AnswerLead lead(kOptions);
  lead.OnSent(3s);
  cr_expect(lead.Get(0) == kOptions.way + kOptions.longest_finish);
}

// Guards against answers of many parts that are late by the time their parts
// take on a slow link.
Test(answer_lead, an_answer_of_more_parts_leaves_sooner) {
  const AnswerLead lead(kOptions);
  cr_expect(lead.Get(63) - lead.Get(0) == 63 * kOptions.part);
  cr_expect(lead.Get(1500) - lead.Get(0) == kOptions.longest_parts);
}

}  // namespace
}  // namespace knapweedroad
