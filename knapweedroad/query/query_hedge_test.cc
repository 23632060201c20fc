#include <criterion/criterion.h>

#include "knapweedroad/query/query_run.h"
#include "knapweedroad/query/query_test_fixture.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

Test(QueryHedge, ASlowAttemptIsHedgedAndTheFirstReplyWins) {
  // Guards against one slow target of a shard that slows down every query.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(9));
  cr_assert(run.OnTimer(fixture.At(9)).empty());
  const auto hedge = Sends(run.OnTimer(*run.NextWake()));
  cr_assert_eq(hedge.size(), 1);
  cr_assert(hedge[0].purpose == AttemptPurpose::kHedge);
  cr_assert_neq(hedge[0].target, sends[0].target);
  const auto last =
      run.OnReply(hedge[0].attempt, fixture.Reply("a"), fixture.At(20));
  cr_assert_eq(Cancels(last).size(), 1);
  cr_assert_eq(Cancels(last)[0].attempt, sends[0].attempt);
  cr_assert(Answer(last)->coverage.IsComplete());
}

Test(QueryHedge, ASlowHedgeIsHedgedOnce) {
  // Guards against slow answers when the hedge goes to a slow target too, as in
  // one query of a thousand.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  fixture.AddTarget("s1", "s1-c", "there");
  fixture.AddTarget("s1", "s1-d", "there");
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(9));
  cr_assert_eq(Sends(run.OnTimer(fixture.At(11))).size(), 1);
  cr_assert(run.OnTimer(fixture.At(15)).empty());
  cr_assert_eq(Sends(run.OnTimer(fixture.At(22))).size(), 1);
  cr_assert(run.OnTimer(fixture.At(60)).empty(), "at most two hedges are sent");
}

Test(QueryHedge, ARefusedHedgeGoesToAnotherReplicaAndIsRefunded) {
  // Guards against a slow attempt that stays without a hedge: reported loads
  // lag, and the slot that seemed free is taken when the hedge reaches the
  // lease holder.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  fixture.AddTarget("s1", "s1-c", "there");
  fixture.state.hedge_budget = TokenBudget({.share = 0.0, .burst = 1.0});
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(9));
  const TargetAttemptFailure full{.outcome = RunOutcome::kNotRun,
                                  .kind = FailureKind::kRefusedByHolder};
  const auto hedge = Sends(run.OnTimer(fixture.At(17)));
  const auto other =
      Sends(run.OnFailure(hedge[0].attempt, full, fixture.At(18)));
  cr_assert_eq(other.size(), 1);
  cr_assert_neq(other[0].target, hedge[0].target);
  cr_assert(run.OnFailure(other[0].attempt, full, fixture.At(19)).empty());
  cr_assert_eq(run.stats().hedges, 0);
  cr_assert_eq(run.stats().refused, 0,
               "a refused hedge does not indicate overload");
  cr_assert_eq(Sends(run.OnTimer(fixture.At(25))).size(), 1,
               "the hedge is tried again");
}

Test(QueryHedge, ATargetThatRefusedAHedgeCanGetARetry) {
  // Guards against missing a shard that has a healthy target: that target had
  // no free slot for a hedge, and is not tried again when the first attempt
  // fails.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(9));
  const auto hedge = Sends(run.OnTimer(fixture.At(12)));
  const TargetAttemptFailure full{.outcome = RunOutcome::kNotRun,
                                  .kind = FailureKind::kRefusedByHolder};
  run.OnFailure(hedge[0].attempt, full, fixture.At(13));
  const TargetAttemptFailure lost{.outcome = RunOutcome::kUnknown,
                                  .kind = FailureKind::kInvalidReply};
  const auto retry =
      Sends(run.OnFailure(sends[0].attempt, lost, fixture.At(14)));
  cr_assert_eq(retry.size(), 1);
  cr_assert_eq(retry[0].target, hedge[0].target);
}

Test(QueryHedge, AFewSamplesAreEnoughToHedge) {
  // Guards against hedging nothing for the first seconds after a host starts.
  QueryTestFixture fixture;
  for (int sample = 0; sample < 20; ++sample) {
    fixture.state.latencies.Record(ServiceId("s1"), ZoneId("here"),
                                   milliseconds(10));
  }
  auto run = fixture.MakeRun();
  run.Start(fixture.At(0));
  cr_assert(run.OnTimer(fixture.At(29)).empty());
  cr_assert_eq(Sends(run.OnTimer(fixture.At(33))).size(), 2);
}

Test(QueryHedge, AFailedFirstAttemptLeavesTheHedgeInFlight) {
  // Guards against a third request to a shard while the hedge may still reply.
  QueryTestFixture fixture;
  fixture.AddTarget("s1", "s1-c", "there");
  fixture.RecordLatencies(milliseconds(10));
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(9));
  const auto hedge = Sends(run.OnTimer(fixture.At(12)));
  const TargetAttemptFailure lost{.outcome = RunOutcome::kUnknown,
                                  .kind = FailureKind::kConnection};
  cr_assert(run.OnFailure(sends[0].attempt, lost, fixture.At(13)).empty());
  cr_assert(
      Answer(run.OnReply(hedge[0].attempt, fixture.Reply("a"), fixture.At(14)))
          .has_value());
}

Test(QueryHedge, ABusyOrColdReplicaGetsNoHedge) {
  // Guards against a hedge that overloads a cold target or delays first
  // attempts.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  auto run = fixture.MakeRun();
  run.Start(fixture.At(0));
  fixture.Target("s1", 1).in_flight = 2;
  fixture.Target("s2", 1).state = TargetState::kCold;
  cr_assert(run.OnTimer(fixture.At(12)).empty());
  fixture.Target("s1", 1).in_flight = 1;
  cr_assert_eq(Sends(run.OnTimer(fixture.At(20))).size(), 1,
               "the hedge is tried again");
}

Test(QueryHedge, NoHedgeWhileTheBudgetIsSuspended) {
  // Guards against sending each request twice when all targets become slow.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  fixture.state.hedge_budget.SetSuspended(true);
  auto run = fixture.MakeRun();
  run.Start(fixture.At(0));
  cr_assert(run.OnTimer(fixture.At(12)).empty());
}

Test(QueryHedge, AVerySlowAttemptUsesTheReservedHalfOfTheBudget) {
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  fixture.state.hedge_budget = TokenBudget({.share = 0.0, .burst = 2});
  fixture.state.hedge_budget.TryTake();
  auto run = fixture.MakeRun();
  run.Start(fixture.At(0));
  cr_assert(run.OnTimer(fixture.At(12)).empty());
  cr_assert_eq(Sends(run.OnTimer(fixture.At(17))).size(), 1);
}

Test(QueryHedge, LatenciesDuringOverloadAreNotRecorded) {
  // Guards against too few hedges for minutes after an overload: compared to
  // the latencies recorded during it, hardly any attempt is slow.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  fixture.state.SetOverloaded(true);
  for (int query = 0; query < 50; ++query) {
    auto run = fixture.MakeRun();
    const auto sends = Sends(run.Start(fixture.At(0)));
    run.OnReply(sends[0].attempt, fixture.Reply("a"), fixture.At(80));
  }
  const auto slow =
      fixture.state.latencies.Quantile(ServiceId("s1"), ZoneId("here"), 0.9);
  cr_assert_leq(*slow, milliseconds(11));
}

Test(QueryHedge, LatenciesOfCancelledSlowAttemptsAreRecorded) {
  // Guards against a growing number of hedges: if cancelled slow attempts are
  // not recorded, the quantile drops and more attempts are hedged.
  QueryTestFixture fixture;
  fixture.RecordLatencies(milliseconds(10));
  for (int query = 0; query < 50; ++query) {
    fixture.state.hedge_budget = TokenBudget({.share = 1.0});
    auto run = fixture.MakeRun();
    const auto sends = Sends(run.Start(fixture.At(0)));
    run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(9));
    const auto hedge = Sends(run.OnTimer(fixture.At(40)));
    if (hedge.empty()) {
      break;
    }
    run.OnReply(hedge[0].attempt, fixture.Reply("a"), fixture.At(45));
  }
  const auto slow =
      fixture.state.latencies.Quantile(ServiceId("s1"), ZoneId("here"), 0.9);
  cr_assert_geq(*slow, milliseconds(40));
}

// Guards against services of one query that each send it to a second target
// although all first ones have ended under it.
Test(QueryHedge, ServicesThatAreHeldBackSendOnceTheQueryIsCleared) {
  QueryTestFixture fixture;
  SendPermission permission = SendPermission::kAllowed;
  QueryHooks hooks = fixture.Hooks();
  hooks.check_send = [&permission](const ServiceId&, size_t) {
    return permission;
  };
  QueryRun run = fixture.MakeRun(hooks);
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert_eq(sends.size(), 2);
  permission = SendPermission::kHeld;
  const TargetAttemptFailure lost{.outcome = RunOutcome::kUnknown,
                                  .kind = FailureKind::kTargetLost};
  cr_expect(run.OnFailure(sends[0].attempt, lost, fixture.At(5)).empty());
  cr_expect(run.OnTimer(fixture.At(9)).empty());
  permission = SendPermission::kAllowed;
  const auto again = Sends(run.OnTimer(fixture.At(13)));
  cr_assert_eq(again.size(), 1);
  cr_expect(again[0].target != sends[0].target);
}

// Guards against callers who wait for their deadline although their query will
// not be sent again.
Test(QueryHedge, ACondemnedQueryIsRefusedAtOnce) {
  QueryTestFixture fixture;
  QueryHooks hooks = fixture.Hooks();
  hooks.check_send = [](const ServiceId&, size_t) {
    return SendPermission::kRefused;
  };
  QueryRun run = fixture.MakeRun(hooks);
  const auto refusal = Refusal(run.Start(fixture.At(0)));
  cr_assert(refusal.has_value());
  cr_expect(refusal->outcome == RunOutcome::kNotRun);
}

}  // namespace
}  // namespace knapweedroad
