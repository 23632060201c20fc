#include "knapweedroad/query/query_run.h"

#include <criterion/criterion.h>

#include "knapweedroad/query/query_test_fixture.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr TargetAttemptFailure kShedFailure{.outcome = RunOutcome::kNotRun,
                                            .kind = FailureKind::kShed,
                                            .retry_after = milliseconds(300)};
constexpr TargetAttemptFailure kUnknownFailure{.outcome = RunOutcome::kUnknown,
                                               .kind = FailureKind::kTimeout};

Test(QueryRun, AnswersAsSoonAsAllServicesHaveReplied) {
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert_eq(sends.size(), 2);
  cr_assert(
      run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(5)).empty());
  const auto last =
      run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(6));
  cr_assert(Answer(last).has_value());
  cr_assert(Answer(last)->coverage.IsComplete());
  cr_assert_eq(Answer(last)->hits.size(), 2);
  cr_assert(run.finished());
  cr_assert(!run.NextWake());
}

Test(QueryRun, AServiceWithoutTargetsCountsInTheTotal) {
  // Guards against reporting full coverage while a shard is missing: all
  // targets of s2 have failed, and the total is computed from the available
  // services only.
  QueryTestFixture fixture;
  fixture.targets.erase(ServiceId("s2"));
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert_eq(sends.size(), 1);
  const auto last =
      run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(5));
  cr_assert(Answer(last).has_value(),
            "the answer does not wait for the deadline");
  const Coverage expected{.units_answered = 60, .units_total = 100};
  cr_assert(Answer(last)->coverage == expected);
  cr_assert(Answer(last)->missing_services ==
            std::vector<ServiceId>{ServiceId("s2")});
}

Test(QueryRun, AnErrorIsNotAnEmptyReply) {
  // Guards against reporting that no record matches when a shard has failed:
  // both targets of s1 return errors, which are merged as empty lists of hits.
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 0.0;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(2));
  const TargetAttemptFailure broken{.outcome = RunOutcome::kRun,
                                    .kind = FailureKind::kInvalidReply};
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, broken, fixture.At(3)));
  cr_assert_eq(again.size(), 1);
  const auto last = run.OnFailure(again[0].attempt, broken, fixture.At(4));
  cr_assert(Answer(last).has_value());
  cr_assert_eq(Answer(last)->coverage.units_answered, 40);
}

Test(QueryRun, NoReplyIsARefusalEvenWithoutAMinimum) {
  // Guards against a status of 200 with no hits when all services fail.
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 0.0;
  auto run = fixture.MakeRun();
  run.Start(fixture.At(0));
  const auto last = run.OnTimer(*run.NextWake());
  cr_assert(!Answer(last));
  cr_assert(Refusal(last).has_value());
  cr_assert(Refusal(last)->outcome == RunOutcome::kUnknown);
}

Test(QueryRun, APartialReplyCountsOnlyTheUnitsItSearched) {
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  SearchReply part = fixture.Reply("a");
  part.units = 50;
  run.OnReply(sends[0].attempt, part, fixture.At(5));
  const auto last =
      run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(6));
  cr_assert_eq(Answer(last)->coverage.units_answered, 90);
  cr_assert_eq(Answer(last)->missing_services.size(), 1);
}

Test(QueryRun, OnlyTheFirstReplyOfAnAttemptCounts) {
  // Guards against coverage that counts units twice: a reply arrives twice, or
  // after its attempt has ended.
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(5));
  cr_assert(
      run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(6)).empty());
  cr_assert(
      run.OnReply(AttemptId("of-another"), fixture.Reply("x"), fixture.At(6))
          .empty());
  const auto last =
      run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(7));
  cr_assert_eq(Answer(last)->coverage.units_answered, 100);
  cr_assert_eq(Answer(last)->hits.size(), 2);
}

Test(QueryRun, ARefusedAttemptGoesToAnotherReplicaAtOnce) {
  QueryTestFixture fixture;
  fixture.state.retry_budget.SetSuspended(true);
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, kShedFailure, fixture.At(1)));
  cr_assert_eq(again.size(), 1);
  cr_assert_neq(again[0].target, sends[0].target);
  cr_assert(again[0].purpose == AttemptPurpose::kRetry);
}

Test(QueryRun, AQueryThatCannotReachTheMinimumIsRefusedAtOnce) {
  // Guards against waiting until the deadline for a refusal that is already
  // certain: all replicas of a service that the minimum requires have refused.
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, kShedFailure, fixture.At(1)));
  const auto last =
      run.OnFailure(again[0].attempt, kShedFailure, fixture.At(2));
  cr_assert(Refusal(last).has_value());
  cr_assert(Refusal(last)->retry_after == milliseconds(300));
  cr_assert_eq(Cancels(last).size(), 1,
               "the attempt at the other service is cancelled");
}

Test(QueryRun, ARetryAfterWithinTheDeadlineIsUsed) {
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  TargetAttemptFailure shortly = kShedFailure;
  shortly.retry_after = milliseconds(20);
  const auto second =
      Sends(run.OnFailure(sends[0].attempt, shortly, fixture.At(1)));
  cr_assert(run.OnFailure(second[0].attempt, shortly, fixture.At(2)).empty());
  cr_assert(*run.NextWake() == fixture.At(22));
  cr_assert_eq(Sends(run.OnTimer(fixture.At(22))).size(), 1);
}

Test(QueryRun, NoRetryAfterAnUnknownOutcomeWithoutBudget) {
  // Guards against an overload that persists after its cause has gone, because
  // each timeout sends one more request.
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 0.0;
  fixture.state.retry_budget.SetSuspended(true);
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert(
      run.OnFailure(sends[0].attempt, kUnknownFailure, fixture.At(30)).empty());
  const auto last =
      run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(31));
  cr_assert(Answer(last).has_value());
}

Test(QueryRun, NoRetryThatCannotFinishInTime) {
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 0.0;
  fixture.RecordLatencies(milliseconds(40));
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert(Sends(run.OnFailure(sends[0].attempt, kShedFailure, fixture.At(60)))
                .empty());
}

Test(QueryRun, AFailedConnectionToTheOnlyTargetIsRetriedOnce) {
  // Guards against missing a shard whose only target is healthy: the open
  // connection to it is dead, but a new connection would work.
  QueryTestFixture fixture;
  fixture.targets[ServiceId("s1")].pop_back();
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  const TargetAttemptFailure silent{.outcome = RunOutcome::kUnknown,
                                    .kind = FailureKind::kConnection};
  run.OnFailure(sends[0].attempt, silent, fixture.At(5));
  const auto again = Sends(run.OnTimer(*run.NextWake()));
  cr_assert_eq(again.size(), 1);
  cr_assert_eq(again[0].target, sends[0].target);
  const auto last = run.OnFailure(again[0].attempt, silent, fixture.At(9));
  cr_assert(Refusal(last).has_value(),
            "a failed connection is retried only once");
}

Test(QueryRun, CoveragePolicyAnswersOneReturnMarginBeforeTheDeadline) {
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(5));
  cr_assert(run.OnTimer(fixture.At(89)).empty());
  cr_assert(*run.NextWake() == fixture.At(90));
  const auto last = run.OnTimer(fixture.At(90));
  cr_assert_eq(Answer(last)->coverage.units_answered, 60);
  cr_assert_eq(Cancels(last).size(), 1);
}

Test(QueryRun, TailPolicyAnswersPartiallyAtTheTailTarget) {
  // Guards against waiting past the tail target for one slow shard of ten.
  QueryTestFixture fixture;
  fixture.front.policy = AnswerPolicy::kTail;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(5));
  cr_assert(*run.NextWake() == fixture.At(50));
  const auto last = run.OnTimer(fixture.At(50));
  cr_assert_eq(Answer(last)->coverage.units_answered, 60);
}

Test(QueryRun, TailPolicyWaitsUntilTheMinimumIsReached) {
  QueryTestFixture fixture;
  fixture.front.policy = AnswerPolicy::kTail;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(5));
  cr_assert(run.OnTimer(fixture.At(50)).empty());
  const auto last =
      run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(60));
  cr_assert(Answer(last)->coverage.IsComplete());
}

Test(QueryRun, AbandonCancelsAllAttempts) {
  // Guards against targets that continue to work for disconnected callers.
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert_eq(Cancels(run.Abandon(fixture.At(5))).size(), 2);
  cr_assert(
      run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(6)).empty());
}

Test(QueryRun, APassedDeadlineSendsNothing) {
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto actions = run.Start(fixture.At(95));
  cr_assert(Sends(actions).empty());
  cr_assert_eq(Refusal(actions)->status, 504);
  cr_assert(Refusal(actions)->outcome == RunOutcome::kNotRun);
}

Test(QueryRun, AnUnreachableMinimumSendsNothingAndReportsNotRun) {
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 1.0;
  fixture.targets.erase(ServiceId("s2"));
  auto run = fixture.MakeRun();
  const auto actions = run.Start(fixture.At(0));
  cr_assert(Sends(actions).empty(),
            "a query that cannot succeed sends nothing");
  cr_assert(Refusal(actions)->outcome == RunOutcome::kNotRun);
}

}  // namespace
}  // namespace knapweedroad
