#include "knapweedroad/base/log_limit.h"

#include <chrono>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

// An event that repeats all the time pushes every other line out of a log of
// bounded length.
Test(log_limit, a_repeated_event_is_counted_and_not_logged) {
  LogLimit limit(seconds(5));
  const TimePoint start{};
  cr_assert(limit.Admit(start) == 0U);
  for (int i = 1; i < 5; ++i) {
    cr_assert(!limit.Admit(start + seconds(i)));
  }
  cr_assert(limit.Admit(start + seconds(5)) == 4U);
  cr_assert(limit.Admit(start + seconds(20)) == 0U);
}

}  // namespace
}  // namespace knapweedroad
