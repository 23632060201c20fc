// A query keeps to one snapshot while versions and generations change.

#include <criterion/criterion.h>

#include "knapweedroad/query/query_run.h"
#include "knapweedroad/query/query_test_world.h"

namespace knapweedroad {
namespace {

constexpr SubFailure kNotHeld{.outcome = RunOutcome::kNotRun,
                              .kind = FailureKind::kNoSnapshot};

void RollOut(QueryTestWorld& world) {
  for (auto& [service, candidates] : world.targets) {
    for (TargetCandidate& candidate : candidates) {
      candidate.holds = {kNew};
    }
  }
}

Test(QuerySnapshot, AnAnswerOfAnotherSnapshotIsNeverMixedIn) {
  // A dashboard adds up nights of two index versions.
  // A searcher gets a new version between the choice of the snapshot and the
  // sub-request, and answers from it.
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert_eq(sends[0].snapshot, kOld);
  const auto again = Sends(
      run.OnReply(sends[0].attempt, world.Reply("new", kNew), world.At(2)));
  cr_assert_eq(again.size(), 1);
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(3));
  const auto last =
      run.OnReply(again[0].attempt, world.Reply("a"), world.At(4));
  const auto answer = Answer(last);
  cr_assert_eq(answer->snapshot, kOld);
  cr_assert_eq(answer->hits.size(), 2);
  for (const Hit& hit : answer->hits) {
    cr_assert_neq(hit.id, "new");
  }
}

Test(QuerySnapshot, ALostSnapshotRestartsTheWholeQueryOnANewerOne) {
  // A query loses a shard in each roll-out: s1's searchers have dropped the
  // pinned version, while s2 has answered from it already.
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("old"), world.At(2));
  RollOut(world);
  const auto restart =
      Sends(run.OnFailure(sends[0].attempt, kNotHeld, world.At(3)));
  cr_assert_eq(restart.size(), 2);
  cr_assert_eq(restart[0].snapshot, kNew);
  run.OnReply(restart[0].attempt, world.Reply("a", kNew), world.At(5));
  const auto last =
      run.OnReply(restart[1].attempt, world.Reply("b", kNew), world.At(6));
  cr_assert(Answer(last)->coverage.IsWhole());
  cr_assert_eq(Answer(last)->hits.size(), 2, "nothing of the old one");
}

Test(QuerySnapshot, ALastHolderThatFailsCountsAsALostSnapshot) {
  // As above, but s1's only old replica crashes: nobody says "not held".
  QueryTestWorld world;
  world.Target("s1", 1).holds = {kNew};
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  RollOut(world);
  const SubFailure crashed{.outcome = RunOutcome::kUnknown,
                           .kind = FailureKind::kBroken};
  const auto restart =
      Sends(run.OnFailure(sends[0].attempt, crashed, world.At(3)));
  cr_assert_eq(restart.size(), 2);
  cr_assert_eq(restart[0].snapshot, kNew);
}

Test(QuerySnapshot, AnAnswerToAnAttemptOfBeforeTheRestartIsDropped) {
  // Two versions in one answer: the slow answer of the first round arrives
  // after the restart on the next version.
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  RollOut(world);
  const auto actions = run.OnFailure(sends[0].attempt, kNotHeld, world.At(3));
  cr_assert_eq(Cancels(actions).size(), 1);
  cr_assert(
      run.OnReply(sends[1].attempt, world.Reply("old"), world.At(4)).empty());
  const auto restart = Sends(actions);
  run.OnReply(restart[0].attempt, world.Reply("a", kNew), world.At(5));
  cr_assert(!run.finished());
}

Test(QuerySnapshot, WithoutTimeForARestartTheAnswerIsWhatThereIs) {
  QueryTestWorld world;
  world.front.minimum_coverage = 0.3;
  world.LearnLatency(std::chrono::milliseconds(30));
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  run.OnReply(sends[1].attempt, world.Reply("b"), world.At(60));
  RollOut(world);
  const auto last = run.OnFailure(sends[0].attempt, kNotHeld, world.At(70));
  cr_assert(Answer(last).has_value());
  cr_assert_eq(Answer(last)->snapshot, kOld);
  cr_assert_eq(Answer(last)->coverage.units_answered, 40);
}

Test(QuerySnapshot, ARepartitionedFrontCountsInTheGenerationThatAnswered) {
  // Coverage above 1 or too low after a repartition: units of the old
  // services are set against the new manifest.
  QueryTestWorld world;
  const SnapshotId split{.generation = 2, .index_version = 1};
  world.front.generations.push_back({.number = 2,
                                     .units = {{ServiceId("s1"), 30},
                                               {ServiceId("s2"), 40},
                                               {ServiceId("s3"), 30}}});
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert_eq(sends.size(), 2, "the new generation has no whole answer yet");
  world.AddTarget("s3", "s3-a", "here");
  for (auto& [service, candidates] : world.targets) {
    for (TargetCandidate& candidate : candidates) {
      candidate.holds = {split};
    }
  }
  const auto restart =
      Sends(run.OnFailure(sends[0].attempt, kNotHeld, world.At(3)));
  cr_assert_eq(restart.size(), 3);
  run.OnReply(restart[0].attempt, world.Reply("a", split), world.At(5));
  run.OnReply(restart[1].attempt, world.Reply("a", split), world.At(5));
  const auto last =
      run.OnReply(restart[2].attempt, world.Reply("c", split), world.At(6));
  cr_assert_eq(Answer(last)->coverage.units_total, 100);
  cr_assert(Answer(last)->coverage.IsWhole());
  cr_assert_eq(Answer(last)->hits.size(), 2, "the same record once");
}

}  // namespace
}  // namespace knapweedroad
