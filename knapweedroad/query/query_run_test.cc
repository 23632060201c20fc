#include "knapweedroad/query/query_run.h"

#include <criterion/criterion.h>

#include "knapweedroad/query/query_test_fixture.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr AttemptFailure kShedFailure{.outcome = RunOutcome::kNotRun,
                                      .kind = FailureKind::kShed,
                                      .retry_after = milliseconds(300)};
constexpr AttemptFailure kUnknownFailure{.outcome = RunOutcome::kUnknown,
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
  // A dashboard says it is complete while a shard is missing.
  // All searchers of s2 die; the next query sees only s1 and gets all that
  // those who are alive hold. Cause: a denominator made from who is alive.
  QueryTestFixture fixture;
  fixture.targets.erase(ServiceId("s2"));
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert_eq(sends.size(), 1);
  const auto last =
      run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(5));
  cr_assert(Answer(last).has_value(), "and nobody waits for the deadline");
  const Coverage expected{.units_answered = 60, .units_total = 100};
  cr_assert(Answer(last)->coverage == expected);
  cr_assert(Answer(last)->missing_services ==
            std::vector<ServiceId>{ServiceId("s2")});
}

Test(QueryRun, AnErrorIsNotAnEmptyReply) {
  // An editor is told that there is no duplicate, and files one.
  // Both searchers of s1 answer with errors, which are merged as "no hits".
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 0.0;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(2));
  const AttemptFailure broken{.outcome = RunOutcome::kRun,
                              .kind = FailureKind::kInvalidReply};
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, broken, fixture.At(3)));
  cr_assert_eq(again.size(), 1);
  const auto last = run.OnFailure(again[0].attempt, broken, fixture.At(4));
  cr_assert(Answer(last).has_value());
  cr_assert_eq(Answer(last)->coverage.units_answered, 40);
}

Test(QueryRun, NoReplyIsARefusalEvenWithoutAMinimum) {
  // All services fail and the caller gets a 200 with an empty list of hits.
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
  // Coverage above what was asked: an answer arrives twice, or after its
  // attempt was given up, and its units are added twice.
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
  fixture.state.retries.SetSuspended(true);
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, kShedFailure, fixture.At(1)));
  cr_assert_eq(again.size(), 1);
  cr_assert_neq(again[0].target, sends[0].target);
  cr_assert(again[0].purpose == AttemptPurpose::kRetry);
}

Test(QueryRun, AQueryThatCannotReachTheMinimumIsRefusedAtOnce) {
  // A caller waits to its deadline for a refusal that was certain long before:
  // all replicas of a service that the minimum needs have refused.
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, kShedFailure, fixture.At(1)));
  const auto last =
      run.OnFailure(again[0].attempt, kShedFailure, fixture.At(2));
  cr_assert(Refusal(last).has_value());
  cr_assert(Refusal(last)->retry_after == milliseconds(300));
  cr_assert_eq(Cancels(last).size(), 1, "the other service needn't go on");
}

Test(QueryRun, ARetryAfterWithinTheDeadlineIsUsed) {
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  AttemptFailure shortly = kShedFailure;
  shortly.retry_after = milliseconds(20);
  const auto second =
      Sends(run.OnFailure(sends[0].attempt, shortly, fixture.At(1)));
  cr_assert(run.OnFailure(second[0].attempt, shortly, fixture.At(2)).empty());
  cr_assert(*run.NextWake() == fixture.At(22));
  cr_assert_eq(Sends(run.OnTimer(fixture.At(22))).size(), 1);
}

Test(QueryRun, NoRetryAfterAnUnknownOutcomeWithoutBudget) {
  // An outage that outlives its cause: every timeout sends one more request.
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 0.0;
  fixture.state.retries.SetSuspended(true);
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
  // The only searcher of a shard is well, but the tier's open connection to it
  // is dead: the query loses the shard although a new connection would do.
  QueryTestFixture fixture;
  fixture.targets[ServiceId("s1")].pop_back();
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  const AttemptFailure silent{.outcome = RunOutcome::kUnknown,
                              .kind = FailureKind::kConnection};
  run.OnFailure(sends[0].attempt, silent, fixture.At(5));
  const auto again = Sends(run.OnTimer(*run.NextWake()));
  cr_assert_eq(again.size(), 1);
  cr_assert_eq(again[0].target, sends[0].target);
  const auto last = run.OnFailure(again[0].attempt, silent, fixture.At(9));
  cr_assert(Refusal(last).has_value(), "once, not for ever");
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
  // A radio desk on deadline waits for one straggling shard of ten.
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
  // Targets go on working for callers that have gone.
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
  cr_assert(Sends(actions).empty(), "no load for what can't be answered");
  cr_assert(Refusal(actions)->outcome == RunOutcome::kNotRun);
}

}  // namespace
}  // namespace knapweedroad
