#include "knapweedroad/query/query_run.h"

#include <criterion/criterion.h>

#include "knapweedroad/query/query_test_world.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr SubFailure kShedFailure{.outcome = RunOutcome::kNotRun,
                                  .kind = FailureKind::kShed,
                                  .retry_after = milliseconds(300)};
constexpr SubFailure kUnknownFailure{.outcome = RunOutcome::kUnknown,
                                     .kind = FailureKind::kTimeout};

Test(QueryRun, AnswersWholeAsSoonAsTheLastServiceHas) {
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert_eq(sends.size(), 2);
  cr_assert(
      run.OnReply(sends[0].attempt, world.Reply("a"), world.At(5)).empty());
  const auto last =
      run.OnReply(sends[1].attempt, world.Reply("b"), world.At(6));
  cr_assert(Answer(last).has_value());
  cr_assert(Answer(last)->coverage.IsWhole());
  cr_assert_eq(Answer(last)->hits.size(), 2);
  cr_assert(run.finished());
  cr_assert(!run.NextWake());
}

Test(QueryRun, AServiceWithoutAnyTargetStaysInTheDenominator) {
  // A dashboard says it is complete while a shard is missing.
  // All searchers of s2 die; the next query sees only s1 and gets all that
  // those who are alive hold. Cause: a denominator made from who is alive.
  QueryTestWorld world;
  world.targets.erase(ServiceId("s2"));
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert_eq(sends.size(), 1);
  const auto last =
      run.OnReply(sends[0].attempt, world.Reply("a"), world.At(5));
  cr_assert(Answer(last).has_value(), "and nobody waits for the deadline");
  const Coverage expected{.units_answered = 60, .units_total = 100};
  cr_assert(Answer(last)->coverage == expected);
  cr_assert(Answer(last)->missing_services ==
            std::vector<ServiceId>{ServiceId("s2")});
}

Test(QueryRun, AnErrorIsNotAnEmptyAnswer) {
  // An editor is told that there is no duplicate, and files one.
  // Both searchers of s1 answer with errors, which are merged as "no hits".
  QueryTestWorld world;
  world.front.minimum_coverage = 0.0;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(2));
  const SubFailure broken{.outcome = RunOutcome::kRun,
                          .kind = FailureKind::kBroken};
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, broken, world.At(3)));
  cr_assert_eq(again.size(), 1);
  const auto last = run.OnFailure(again[0].attempt, broken, world.At(4));
  cr_assert(Answer(last).has_value());
  cr_assert_eq(Answer(last)->coverage.units_answered, 40);
}

Test(QueryRun, NoAnswerAtAllIsARefusalEvenWithoutAMinimum) {
  // All services fail and the caller gets a 200 with an empty list of hits.
  QueryTestWorld world;
  world.front.minimum_coverage = 0.0;
  auto run = world.MakeRun();
  run.Start(world.At(0));
  const auto last = run.OnTimer(*run.NextWake());
  cr_assert(!Answer(last));
  cr_assert(Refusal(last).has_value());
  cr_assert(Refusal(last)->outcome == RunOutcome::kUnknown);
}

Test(QueryRun, ATargetThatSearchedLessThanItsPartCountsForThatMuch) {
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  SubReply part = world.Reply("a");
  part.units = 50;
  run.OnReply(sends[0].attempt, part, world.At(5));
  const auto last =
      run.OnReply(sends[1].attempt, world.Reply("b"), world.At(6));
  cr_assert_eq(Answer(last)->coverage.units_answered, 90);
  cr_assert_eq(Answer(last)->missing_services.size(), 1);
}

Test(QueryRun, AnAttemptAnswersOnce) {
  // Coverage above what was asked: an answer arrives twice, or after its
  // attempt was given up, and its units are added twice.
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[0].attempt, world.Reply("a"), world.At(5));
  cr_assert(
      run.OnReply(sends[0].attempt, world.Reply("a"), world.At(6)).empty());
  cr_assert(run.OnReply(AttemptId("of-another"), world.Reply("x"), world.At(6))
                .empty());
  const auto last =
      run.OnReply(sends[1].attempt, world.Reply("b"), world.At(7));
  cr_assert_eq(Answer(last)->coverage.units_answered, 100);
  cr_assert_eq(Answer(last)->hits.size(), 2);
}

Test(QueryRun, ARefusedAttemptGoesToAnotherReplicaAtOnce) {
  QueryTestWorld world;
  world.state.retries.SetSuspended(true);
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, kShedFailure, world.At(1)));
  cr_assert_eq(again.size(), 1);
  cr_assert_neq(again[0].target, sends[0].target);
  cr_assert(again[0].purpose == AttemptPurpose::kRetry);
}

Test(QueryRun, AQueryThatCantReachItsMinimumIsRefusedAtOnce) {
  // A caller waits to its deadline for a refusal that was certain long before:
  // all replicas of a service that the minimum needs have refused.
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  const auto again =
      Sends(run.OnFailure(sends[0].attempt, kShedFailure, world.At(1)));
  const auto last = run.OnFailure(again[0].attempt, kShedFailure, world.At(2));
  cr_assert(Refusal(last).has_value());
  cr_assert(Refusal(last)->retry_after == milliseconds(300));
  cr_assert_eq(Cancels(last).size(), 1, "the other service needn't go on");
}

Test(QueryRun, ARetryAfterWithinTheDeadlineIsUsed) {
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  SubFailure shortly = kShedFailure;
  shortly.retry_after = milliseconds(20);
  const auto second =
      Sends(run.OnFailure(sends[0].attempt, shortly, world.At(1)));
  cr_assert(run.OnFailure(second[0].attempt, shortly, world.At(2)).empty());
  cr_assert(*run.NextWake() == world.At(22));
  cr_assert_eq(Sends(run.OnTimer(world.At(22))).size(), 1);
}

Test(QueryRun, NothingIsRetriedAfterAnUnknownOutcomeWithoutBudget) {
  // An outage that outlives its cause: every timeout sends one more request.
  QueryTestWorld world;
  world.front.minimum_coverage = 0.0;
  world.state.retries.SetSuspended(true);
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert(
      run.OnFailure(sends[0].attempt, kUnknownFailure, world.At(30)).empty());
  const auto last =
      run.OnReply(sends[1].attempt, world.Reply("b"), world.At(31));
  cr_assert(Answer(last).has_value());
}

Test(QueryRun, NothingIsRetriedThatCantBeBackInTime) {
  QueryTestWorld world;
  world.front.minimum_coverage = 0.0;
  world.LearnLatency(milliseconds(40));
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert(Sends(run.OnFailure(sends[0].attempt, kShedFailure, world.At(60)))
                .empty());
}

Test(QueryRun, ASilentConnectionIsTriedOnceMoreWhereThereIsNoOtherTarget) {
  // The only searcher of a shard is well, but the tier's open connection to it
  // is dead: the query loses the shard although a new connection would do.
  QueryTestWorld world;
  world.targets[ServiceId("s1")].pop_back();
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  const SubFailure silent{.outcome = RunOutcome::kUnknown,
                          .kind = FailureKind::kConnection};
  run.OnFailure(sends[0].attempt, silent, world.At(5));
  const auto again = Sends(run.OnTimer(*run.NextWake()));
  cr_assert_eq(again.size(), 1);
  cr_assert_eq(again[0].target, sends[0].target);
  const auto last = run.OnFailure(again[0].attempt, silent, world.At(9));
  cr_assert(Refusal(last).has_value(), "once, not for ever");
}

Test(QueryRun, CoverageWaitsForTheDeadlineAndLeavesTimeForTheWayBack) {
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[0].attempt, world.Reply("a"), world.At(5));
  cr_assert(run.OnTimer(world.At(89)).empty());
  cr_assert(*run.NextWake() == world.At(90));
  const auto last = run.OnTimer(world.At(90));
  cr_assert_eq(Answer(last)->coverage.units_answered, 60);
  cr_assert_eq(Cancels(last).size(), 1);
}

Test(QueryRun, TailAnswersWithWhatItHasOnceItsTargetHasPassed) {
  // A radio desk on deadline waits for one straggling shard of ten.
  QueryTestWorld world;
  world.front.policy = AnswerPolicy::kTail;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[0].attempt, world.Reply("a"), world.At(5));
  cr_assert(*run.NextWake() == world.At(50));
  const auto last = run.OnTimer(world.At(50));
  cr_assert_eq(Answer(last)->coverage.units_answered, 60);
}

Test(QueryRun, TailGoesOnBelowItsMinimumAndAnswersWhenThatIsReached) {
  QueryTestWorld world;
  world.front.policy = AnswerPolicy::kTail;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(5));
  cr_assert(run.OnTimer(world.At(50)).empty());
  const auto last =
      run.OnReply(sends[0].attempt, world.Reply("a"), world.At(60));
  cr_assert(Answer(last)->coverage.IsWhole());
}

Test(QueryRun, ACallerThatLeftHasItsAttemptsCancelled) {
  // Targets go on working for callers that have gone.
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert_eq(Cancels(run.Abandon(world.At(5))).size(), 2);
  cr_assert(
      run.OnReply(sends[0].attempt, world.Reply("a"), world.At(6)).empty());
}

Test(QueryRun, APassedDeadlineSendsNothing) {
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto actions = run.Start(world.At(95));
  cr_assert(Sends(actions).empty());
  cr_assert_eq(Refusal(actions)->status, 504);
  cr_assert(Refusal(actions)->outcome == RunOutcome::kNotRun);
}

Test(QueryRun, WhatOnlyRefusalsMetDidNotRun) {
  QueryTestWorld world;
  world.front.minimum_coverage = 1.0;
  world.targets.erase(ServiceId("s2"));
  auto run = world.MakeRun();
  const auto actions = run.Start(world.At(0));
  cr_assert(Sends(actions).empty(), "no load for what can't be answered");
  cr_assert(Refusal(actions)->outcome == RunOutcome::kNotRun);
}

}  // namespace
}  // namespace knapweedroad
