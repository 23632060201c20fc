// Tests of RecordRun and LookupRun.

#include "knapweedroad/query/record_run.h"

#include <criterion/criterion.h>

#include "knapweedroad/query/lookup_run.h"
#include "knapweedroad/query/query_test_fixture.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr TargetAttemptFailure kShedFailure{.outcome = RunOutcome::kNotRun,
                                            .kind = FailureKind::kShed,
                                            .retry_after = milliseconds(300)};
constexpr TargetAttemptFailure kConnectionFailure{
    .outcome = RunOutcome::kUnknown,
    .kind = FailureKind::kConnection};

RecordRun MakeRecordRun(QueryTestFixture& fixture) {
  return RecordRun({.front = fixture.front,
                    .service = ServiceId("s1"),
                    .own_zone = ZoneId("here"),
                    .start = fixture.At(0),
                    .deadline = fixture.At(100),
                    .state = fixture.state,
                    .hooks = fixture.Hooks()});
}

LookupRun MakeLookupRun(QueryTestFixture& fixture) {
  return LookupRun({.front = fixture.front,
                    .service = ServiceId("s1"),
                    .own_zone = ZoneId("here"),
                    .start = fixture.At(0),
                    .deadline = fixture.At(100),
                    .hooks = fixture.Hooks()});
}

RunOutcome OutcomeOf(const RecordStep& step) {
  return std::get<QueryRefusal>(*step.result).outcome;
}

Test(RecordRun, SendsAHedgeAndUsesTheFirstReply) {
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  auto run = MakeRecordRun(fixture);
  const auto first = Sends(run.Start(fixture.At(0)).actions);
  const auto hedge = Sends(run.OnTimer(*run.NextWake()).actions);
  cr_assert_eq(hedge.size(), 1);
  const auto last =
      run.OnReply(hedge[0].attempt, {.body = "r"}, fixture.At(20));
  cr_assert_eq(Cancels(last.actions)[0].attempt, first[0].attempt);
  cr_assert_eq(std::get<RecordReply>(*last.result).body, "r");
  cr_assert(
      !run.OnReply(first[0].attempt, {.body = "s"}, fixture.At(21)).result);
}

Test(RecordRun, FailsAtOnceWhenAllReplicasRefused) {
  QueryTestFixture fixture;
  auto run = MakeRecordRun(fixture);
  const auto first = Sends(run.Start(fixture.At(0)).actions);
  const auto second = Sends(
      run.OnFailure(first[0].attempt, kShedFailure, fixture.At(1)).actions);
  const auto last =
      run.OnFailure(second[0].attempt, kShedFailure, fixture.At(2));
  cr_assert(OutcomeOf(last) == RunOutcome::kNotRun);
  const auto& refusal = std::get<QueryRefusal>(*last.result);
  cr_assert(refusal.retry_after == milliseconds(300));
}

Test(RecordRun, AnAttemptCancelledAtTheDeadlineMayHaveRun) {
  QueryTestFixture fixture;
  auto run = MakeRecordRun(fixture);
  run.Start(fixture.At(0));
  const auto last = run.OnTimer(*run.NextWake());
  cr_assert_eq(std::get<QueryRefusal>(*last.result).status, 504);
  cr_assert(OutcomeOf(last) == RunOutcome::kUnknown);
  cr_assert_eq(Cancels(last.actions).size(), 1);
}

Test(LookupRun, SendsNoHedge) {
  // Guards against a slow lookup that is also sent to a second target and runs
  // twice.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  auto run = MakeLookupRun(fixture);
  run.Start(fixture.At(0));
  cr_assert(run.OnTimer(fixture.At(50)).actions.empty());
  cr_assert(*run.NextWake() == fixture.At(90));
}

Test(LookupRun, RetriesOnlyIfTheAttemptDidNotRun) {
  // Guards against a second run on another target when the first target ran the
  // lookup and its reply was lost because the connection failed.
  QueryTestFixture fixture;
  auto run = MakeLookupRun(fixture);
  const auto first = Sends(run.Start(fixture.At(0)).actions);
  const auto second = Sends(
      run.OnFailure(first[0].attempt, kShedFailure, fixture.At(1)).actions);
  cr_assert_eq(second.size(), 1);
  const auto last =
      run.OnFailure(second[0].attempt, kConnectionFailure, fixture.At(2));
  cr_assert(last.actions.empty());
  cr_assert(OutcomeOf(last) == RunOutcome::kUnknown);
}

Test(LookupRun, TheOutcomeIsUnknownAtTheDeadline) {
  // Guards against reporting "not run" for a lookup that ran because its cancel
  // arrived too late.
  QueryTestFixture fixture;
  auto run = MakeLookupRun(fixture);
  run.Start(fixture.At(0));
  const auto last = run.OnTimer(fixture.At(90));
  cr_assert(OutcomeOf(last) == RunOutcome::kUnknown);
}

Test(LookupRun, IgnoresLateResultsOfEarlierAttempts) {
  QueryTestFixture fixture;
  auto run = MakeLookupRun(fixture);
  const auto first = Sends(run.Start(fixture.At(0)).actions);
  run.OnFailure(first[0].attempt, kShedFailure, fixture.At(1));
  cr_assert(
      !run.OnReply(first[0].attempt, {.body = "x"}, fixture.At(2)).result);
  const auto late =
      run.OnFailure(first[0].attempt, kShedFailure, fixture.At(2));
  cr_assert(late.actions.empty());
  cr_assert(!late.result);
}

Test(LookupRun, DidNotRunIfAllTargetsRefused) {
  QueryTestFixture fixture;
  fixture.targets[ServiceId("s1")].pop_back();
  auto run = MakeLookupRun(fixture);
  const auto first = Sends(run.Start(fixture.At(0)).actions);
  const auto last =
      run.OnFailure(first[0].attempt, kShedFailure, fixture.At(1));
  cr_assert(OutcomeOf(last) == RunOutcome::kNotRun);
}

}  // namespace
}  // namespace knapweedroad
