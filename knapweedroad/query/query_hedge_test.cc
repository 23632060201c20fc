#include <criterion/criterion.h>

#include "knapweedroad/query/query_run.h"
#include "knapweedroad/query/query_test_world.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

Test(QueryHedge, ASlowAttemptIsSentToAnotherReplicaAndTheFirstAnswerWins) {
  // One straggling searcher of a shard sets the latency of every query.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(9));
  cr_assert(run.OnTimer(world.At(9)).empty());
  const auto hedge = Sends(run.OnTimer(*run.NextWake()));
  cr_assert_eq(hedge.size(), 1);
  cr_assert(hedge[0].purpose == AttemptPurpose::kHedge);
  cr_assert_neq(hedge[0].target, sends[0].target);
  const auto last =
      run.OnReply(hedge[0].attempt, world.Reply("a"), world.At(20));
  cr_assert_eq(Cancels(last).size(), 1);
  cr_assert_eq(Cancels(last)[0].attempt, sends[0].attempt);
  cr_assert(Answer(last)->coverage.IsWhole());
}

Test(QueryHedge, AHedgeThatStragglesIsHedgedOnce) {
  // One query in a thousand meets a straggler twice in a row.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  world.AddTarget("s1", "s1-c", "there");
  world.AddTarget("s1", "s1-d", "there");
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(9));
  cr_assert_eq(Sends(run.OnTimer(world.At(11))).size(), 1);
  cr_assert(run.OnTimer(world.At(15)).empty());
  cr_assert_eq(Sends(run.OnTimer(world.At(22))).size(), 1);
  cr_assert(run.OnTimer(world.At(60)).empty(), "two hedges at most");
}

Test(QueryHedge, ARefusedHedgeGoesToAnotherReplicaAndCostsNothing) {
  // A straggler isn't hedged for long: the view of loads is old, and the slot
  // that looked free is taken when the hedge comes to the lease holder.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  world.AddTarget("s1", "s1-c", "there");
  world.state.hedges = TokenBudget({.share = 0.0, .burst = 1.0});
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(9));
  const SubFailure full{.outcome = RunOutcome::kNotRun,
                        .kind = FailureKind::kRefusedQueue};
  const auto hedge = Sends(run.OnTimer(world.At(17)));
  const auto other = Sends(run.OnFailure(hedge[0].attempt, full, world.At(18)));
  cr_assert_eq(other.size(), 1);
  cr_assert_neq(other[0].target, hedge[0].target);
  cr_assert(run.OnFailure(other[0].attempt, full, world.At(19)).empty());
  cr_assert_eq(run.stats().hedges, 0);
  cr_assert_eq(run.stats().refused, 0, "and isn't a sign of overload");
  cr_assert_eq(Sends(run.OnTimer(world.At(25))).size(), 1, "looked for again");
}

Test(QueryHedge, ATargetThatRefusedAHedgeIsStillThereForARetry) {
  // A shard is lost although a searcher of it is well: that one had no free
  // slot for a hedge, and isn't asked again when the first try fails.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(9));
  const auto hedge = Sends(run.OnTimer(world.At(12)));
  const SubFailure full{.outcome = RunOutcome::kNotRun,
                        .kind = FailureKind::kRefusedQueue};
  run.OnFailure(hedge[0].attempt, full, world.At(13));
  const SubFailure lost{.outcome = RunOutcome::kUnknown,
                        .kind = FailureKind::kBroken};
  const auto retry = Sends(run.OnFailure(sends[0].attempt, lost, world.At(14)));
  cr_assert_eq(retry.size(), 1);
  cr_assert_eq(retry[0].target, hedge[0].target);
}

Test(QueryHedge, FewSamplesAreEnoughForAFirstHedge) {
  // For the first seconds after each start of a host nothing is hedged.
  QueryTestWorld world;
  for (int sample = 0; sample < 20; ++sample) {
    world.state.latencies.Record(ServiceId("s1"), ZoneId("here"),
                                 milliseconds(10));
  }
  auto run = world.MakeRun();
  run.Start(world.At(0));
  cr_assert(run.OnTimer(world.At(29)).empty());
  cr_assert_eq(Sends(run.OnTimer(world.At(33))).size(), 2);
}

Test(QueryHedge, AFailedFirstTryLeavesTheHedgeRunning) {
  // A third request for a part that another target is answering already.
  QueryTestWorld world;
  world.AddTarget("s1", "s1-c", "there");
  world.LearnLatency(milliseconds(10));
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(9));
  const auto hedge = Sends(run.OnTimer(world.At(12)));
  const SubFailure lost{.outcome = RunOutcome::kUnknown,
                        .kind = FailureKind::kConnection};
  cr_assert(run.OnFailure(sends[0].attempt, lost, world.At(13)).empty());
  cr_assert(
      Answer(run.OnReply(hedge[0].attempt, world.Reply("a"), world.At(14)))
          .has_value());
}

Test(QueryHedge, ABusyOrColdReplicaGetsNoHedge) {
  // A hedge pushes a cold searcher over, or queues before first tries.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  auto run = world.MakeRun();
  run.Start(world.At(0));
  world.Target("s1", 1).in_flight = 2;
  world.Target("s2", 1).state = TargetState::kCold;
  cr_assert(run.OnTimer(world.At(12)).empty());
  world.Target("s1", 1).in_flight = 1;
  cr_assert_eq(Sends(run.OnTimer(world.At(20))).size(), 1, "looked for again");
}

Test(QueryHedge, WithoutBudgetNothingIsHedged) {
  // All searchers slow down together and each request is sent twice.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  world.state.hedges.SetSuspended(true);
  auto run = world.MakeRun();
  run.Start(world.At(0));
  cr_assert(run.OnTimer(world.At(12)).empty());
}

Test(QueryHedge, AStragglerIsHedgedOutOfTheKeptHalfOfTheBudget) {
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  world.state.hedges = TokenBudget({.share = 0.0, .burst = 2});
  world.state.hedges.Take();
  auto run = world.MakeRun();
  run.Start(world.At(0));
  cr_assert(run.OnTimer(world.At(12)).empty());
  cr_assert_eq(Sends(run.OnTimer(world.At(17))).size(), 1);
}

Test(QueryHedge, WaitsOfAnOverloadStayOutOfTheQuantile) {
  // For minutes after an overload stragglers aren't hedged: by the latencies
  // of then, hardly anything is slow.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  world.state.SetOverloaded(true);
  for (int query = 0; query < 50; ++query) {
    auto run = world.MakeRun();
    const auto sends = Sends(run.Start(world.At(0)));
    run.OnReply(sends[0].attempt, world.Reply("a"), world.At(80));
  }
  const auto slow =
      world.state.latencies.Quantile(ServiceId("s1"), ZoneId("here"), 0.9);
  cr_assert_leq(*slow, milliseconds(11));
}

Test(QueryHedge, AStragglerThatLostStaysInTheQuantile) {
  // Hedging that feeds itself: cancelled stragglers are left out of the
  // latencies, the quantile sinks, and ever more is hedged.
  QueryTestWorld world;
  world.LearnLatency(milliseconds(10));
  for (int query = 0; query < 50; ++query) {
    world.state.hedges = TokenBudget({.share = 1.0});
    auto run = world.MakeRun();
    const auto sends = Sends(run.Start(world.At(0)));
    run.OnReply(sends[1].attempt, world.Reply("b"), world.At(9));
    const auto hedge = Sends(run.OnTimer(world.At(40)));
    if (hedge.empty()) {
      break;
    }
    run.OnReply(hedge[0].attempt, world.Reply("a"), world.At(45));
  }
  const auto slow =
      world.state.latencies.Quantile(ServiceId("s1"), ZoneId("here"), 0.9);
  cr_assert_geq(*slow, milliseconds(40));
}

}  // namespace
}  // namespace knapweedroad
