#include "knapweedroad/routing/answer_lead_time.h"

#include <criterion/criterion.h>

#include <array>

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr AnswerLeadTimeOptions kOptions{.round_trip = 7ms,
                                         .initial_send_time = 4ms,
                                         .max_send_time = 15ms};

// Send times of a slow host, repeated in this order.
constexpr std::array<Duration, 4> kSendTimes{3ms, 6ms, 4ms, 5ms};

// Guards against answers that a slow host sends slightly too late.
Test(answer_lead_time, answers_of_a_slow_host_are_in_time) {
  AnswerLeadTime lead_time(kOptions);
  size_t late = 0;
  for (int i = 0; i < 40; ++i) {
    const Duration send_time = kSendTimes[i % kSendTimes.size()];
    late += lead_time.Get(0) < kOptions.round_trip + send_time ? 1 : 0;
    lead_time.OnSent(send_time);
  }
  // The first long send time can't be planned for.
  cr_expect(late <= 1);
}

// Guards against a fast host that decides on its answers earlier than
// necessary, so that parts are missing.
Test(answer_lead_time, a_fast_host_has_a_short_lead_time) {
  AnswerLeadTime lead_time(kOptions);
  for (int i = 0; i < 100; ++i) {
    lead_time.OnSent(50us);
  }
  cr_expect(lead_time.Get(0) < kOptions.round_trip + 100us);
}

// Guards against answers without their parts after the process was stalled.
Test(answer_lead_time, a_stall_is_not_planned_for) {
  AnswerLeadTime lead_time(kOptions);
  lead_time.OnSent(3s);
  cr_expect(lead_time.Get(0) == kOptions.round_trip + kOptions.max_send_time);
}

// Guards against answers of many parts that are late by the time that their
// parts take on a slow link.
Test(answer_lead_time, more_parts_need_a_longer_lead_time) {
  const AnswerLeadTime lead_time(kOptions);
  cr_expect(lead_time.Get(63) - lead_time.Get(0) ==
            63 * kOptions.time_per_part);
  cr_expect(lead_time.Get(1500) - lead_time.Get(0) == kOptions.max_parts_time);
}

}  // namespace
}  // namespace knapweedroad
