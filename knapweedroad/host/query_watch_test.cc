#include "knapweedroad/host/query_watch.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(1000)};
constexpr RequestFingerprint kQuery{7};

AttemptTarget Of(const char* service, const char* target) {
  return {ServiceId(service), TargetId(target)};
}

// Guards against a query under which the targets of one service after another
// end, as each service sends it again by itself.
Test(QueryWatch, AttemptsThatAreOutHoldOthersBack) {
  QueryOfDeathDetector detector{{}};
  QueryWatch watch(detector, kQuery);
  watch.OnSent(Of("a", "a1"), kStart);
  watch.OnSent(Of("b", "b1"), kStart);
  watch.OnSent(Of("c", "c1"), kStart);
  const TimePoint later = kStart + milliseconds(5);
  cr_expect(!watch.OnEnded(Of("a", "a1"), AttemptFate::kLost, later));
  cr_expect(watch.CheckSend(ServiceId("a"), 0) == SendPermission::kHeld);
  watch.OnEnded(Of("b", "b1"), AttemptFate::kLost, later);
  watch.OnEnded(Of("c", "c1"), AttemptFate::kLost, later);
  cr_expect(watch.CheckSend(ServiceId("a"), 0) == SendPermission::kAllowed);
  cr_expect(watch.CheckSend(ServiceId("b"), 1) == SendPermission::kHeld);
  watch.OnSent(Of("a", "a2"), later);
  cr_expect(watch.OnEnded(Of("a", "a2"), AttemptFate::kLost,
                          later + milliseconds(5)));
  cr_expect(watch.CheckSend(ServiceId("b"), 0) == SendPermission::kRefused);
}

// Guards against a sound query that isn't sent again although other services
// have answered it before a target was lost.
Test(QueryWatch, AnswersFromBeforeALossClearTheQuery) {
  QueryOfDeathDetector detector{{}};
  QueryWatch watch(detector, kQuery);
  watch.OnSent(Of("a", "a1"), kStart);
  watch.OnSent(Of("b", "b1"), kStart);
  watch.OnEnded(Of("a", "a1"), AttemptFate::kAnswered, kStart);
  watch.OnEnded(Of("b", "b1"), AttemptFate::kLost, kStart + milliseconds(1));
  cr_expect(watch.CheckSend(ServiceId("b"), 2) == SendPermission::kAllowed);
}

}  // namespace
}  // namespace knapweedroad
