#include "knapweedroad/admission/admission_mode.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "knapweedroad/admission/adaptive_limit.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(AdmissionMode, SplitSharesAddUpToTheSlots) {
  std::vector<HostId> hosts;
  hosts.reserve(9);
  for (int i = 0; i < 9; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  for (const uint32_t slots : {1u, 2u, 6u, 9u, 20u}) {
    uint32_t sum = 0;
    for (const HostId& host : hosts) {
      sum += SplitShare(TargetId("t"), host, hosts, slots).slots;
    }
    cr_assert_eq(sum, slots);
  }
}

Test(AdmissionMode, ParsesModeNames) {
  cr_assert(ParseAdmissionMode("split") == AdmissionMode::kSplitSlots);
  cr_assert(!ParseAdmissionMode("none").has_value());
}

Test(AdaptiveLimit, RisesOnLowLatencyAndFallsOnOverload) {
  AdaptiveLimit limit({.max_limit = 6});
  TimePoint now{seconds(1)};
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(20);
    limit.OnSuccess(milliseconds(20), now);
  }
  cr_assert_eq(limit.limit(), 6u);
  limit.OnOverload(now);
  limit.OnOverload(now);
  cr_assert_eq(limit.limit(), 4u,
               "a burst of overload signals lowers the limit once");
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(50);
    limit.OnOverload(now);
  }
  cr_assert_eq(limit.limit(), 1u);
}

}  // namespace
}  // namespace knapweedroad
