// Tests that a query uses one snapshot while index versions and generations
// change.

#include <criterion/criterion.h>

#include "knapweedroad/query/query_run.h"
#include "knapweedroad/query/query_test_fixture.h"

namespace knapweedroad {
namespace {

constexpr TargetAttemptFailure kNotHeld{.outcome = RunOutcome::kNotRun,
                                        .kind = FailureKind::kNoSnapshot};

void RollOut(QueryTestFixture& fixture) {
  for (auto& [service, candidates] : fixture.targets) {
    for (TargetCandidate& candidate : candidates) {
      candidate.snapshots = {kNewSnapshot};
    }
  }
}

Test(QuerySnapshot, AReplyOfAnotherSnapshotIsDiscarded) {
  // Guards against an answer that mixes two index versions: a target receives a
  // new version after the snapshot was chosen, and replies from it.
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert_eq(sends[0].snapshot, kOldSnapshot);
  const auto again = Sends(run.OnReply(
      sends[0].attempt, fixture.Reply("new", kNewSnapshot), fixture.At(2)));
  cr_assert_eq(again.size(), 1);
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(3));
  const auto last =
      run.OnReply(again[0].attempt, fixture.Reply("a"), fixture.At(4));
  const auto answer = Answer(last);
  cr_assert_eq(answer->snapshot, kOldSnapshot);
  cr_assert_eq(answer->hits.size(), 2);
  for (const Hit& hit : answer->hits) {
    cr_assert_neq(hit.id, "new");
  }
}

Test(QuerySnapshot, AnUnavailableSnapshotRestartsTheQueryOnANewerOne) {
  // Guards against missing a shard in each roll-out: the targets of s1 have
  // dropped the pinned version, while s2 has already replied from it.
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("old"), fixture.At(2));
  RollOut(fixture);
  const auto restart =
      Sends(run.OnFailure(sends[0].attempt, kNotHeld, fixture.At(3)));
  cr_assert_eq(restart.size(), 2);
  cr_assert_eq(restart[0].snapshot, kNewSnapshot);
  run.OnReply(restart[0].attempt, fixture.Reply("a", kNewSnapshot),
              fixture.At(5));
  const auto last = run.OnReply(
      restart[1].attempt, fixture.Reply("b", kNewSnapshot), fixture.At(6));
  cr_assert(Answer(last)->coverage.IsComplete());
  cr_assert_eq(Answer(last)->hits.size(), 2,
               "hits of the old snapshot are discarded");
}

Test(QuerySnapshot, TheFailureOfTheLastHolderRestartsTheQuery) {
  // The same failure without kNoSnapshot: the only target of s1 that holds the
  // pinned snapshot crashes.
  QueryTestFixture fixture;
  fixture.Target("s1", 1).snapshots = {kNewSnapshot};
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  RollOut(fixture);
  const TargetAttemptFailure crashed{.outcome = RunOutcome::kUnknown,
                                     .kind = FailureKind::kInvalidReply};
  const auto restart =
      Sends(run.OnFailure(sends[0].attempt, crashed, fixture.At(3)));
  cr_assert_eq(restart.size(), 2);
  cr_assert_eq(restart[0].snapshot, kNewSnapshot);
}

Test(QuerySnapshot, AReplyFromBeforeTheRestartIsIgnored) {
  // Guards against an answer that mixes two index versions: a late reply from
  // the old version arrives after the restart on the new one.
  QueryTestFixture fixture;
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  RollOut(fixture);
  const auto actions = run.OnFailure(sends[0].attempt, kNotHeld, fixture.At(3));
  cr_assert_eq(Cancels(actions).size(), 1);
  cr_assert(run.OnReply(sends[1].attempt, fixture.Reply("old"), fixture.At(4))
                .empty());
  const auto restart = Sends(actions);
  run.OnReply(restart[0].attempt, fixture.Reply("a", kNewSnapshot),
              fixture.At(5));
  cr_assert(!run.finished());
}

Test(QuerySnapshot, WithoutTimeForARestartTheAnswerIsPartial) {
  QueryTestFixture fixture;
  fixture.front.minimum_coverage = 0.3;
  fixture.RecordLatencies(std::chrono::milliseconds(30));
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  run.OnReply(sends[1].attempt, fixture.Reply("b"), fixture.At(60));
  RollOut(fixture);
  const auto last = run.OnFailure(sends[0].attempt, kNotHeld, fixture.At(70));
  cr_assert(Answer(last).has_value());
  cr_assert_eq(Answer(last)->snapshot, kOldSnapshot);
  cr_assert_eq(Answer(last)->coverage.units_answered, 40);
}

Test(QuerySnapshot, CoverageUsesTheManifestOfTheAnsweringGeneration) {
  // Guards against wrong coverage after a repartition, above 1 or too low:
  // units of the old services are compared with the total of the new manifest.
  QueryTestFixture fixture;
  const SnapshotId split{.generation = 2, .index_version = 1};
  fixture.front.generations.push_back({.number = 2,
                                       .units = {{ServiceId("s1"), 30},
                                                 {ServiceId("s2"), 40},
                                                 {ServiceId("s3"), 30}}});
  auto run = fixture.MakeRun();
  const auto sends = Sends(run.Start(fixture.At(0)));
  cr_assert_eq(sends.size(), 2, "no target holds the new generation yet");
  fixture.AddTarget("s3", "s3-a", "here");
  for (auto& [service, candidates] : fixture.targets) {
    for (TargetCandidate& candidate : candidates) {
      candidate.snapshots = {split};
    }
  }
  const auto restart =
      Sends(run.OnFailure(sends[0].attempt, kNotHeld, fixture.At(3)));
  cr_assert_eq(restart.size(), 3);
  run.OnReply(restart[0].attempt, fixture.Reply("a", split), fixture.At(5));
  run.OnReply(restart[1].attempt, fixture.Reply("a", split), fixture.At(5));
  const auto last =
      run.OnReply(restart[2].attempt, fixture.Reply("c", split), fixture.At(6));
  cr_assert_eq(Answer(last)->coverage.units_total, 100);
  cr_assert(Answer(last)->coverage.IsComplete());
  cr_assert_eq(Answer(last)->hits.size(), 2, "the same record appears once");
}

}  // namespace
}  // namespace knapweedroad
