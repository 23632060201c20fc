// The small decisions that a query is made of.

#include <criterion/criterion.h>

#include <random>

#include "knapweedroad/query/coverage.h"
#include "knapweedroad/query/hit_merge.h"
#include "knapweedroad/query/latency_book.h"
#include "knapweedroad/query/query_test_world.h"
#include "knapweedroad/query/replica_choice.h"
#include "knapweedroad/query/snapshot_choice.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

Test(CoverageFigure, OnlyAWholeAnswerSaysOne) {
  const Coverage almost{.units_answered = 9'999'999, .units_total = 10'000'000};
  cr_assert_eq(almost.ToText(), "0.9999");
  cr_assert_lt(almost.Value(), 1.0);
  const Coverage whole{.units_answered = 3, .units_total = 3};
  cr_assert_eq(whole.ToText(), "1.0000");
}

Test(HitMerge, TakesTheBestAndEachRecordOnce) {
  const auto merged = MergeHits(
      {{"b", 0.5}, {"a", 0.5}, {"c", 0.9}, {"c", 0.7}, {"d", 0.1}}, 3);
  const std::vector<Hit> expected{{"c", 0.9}, {"a", 0.5}, {"b", 0.5}};
  cr_assert(merged == expected);
}

Test(LatencyBook, FollowsAServiceThatHasBecomeSlower) {
  LatencyBook book(200);
  const ServiceId service("s1");
  const ZoneId zone("z");
  for (int i = 0; i < 1000; ++i) {
    book.Record(service, zone, milliseconds(10));
  }
  for (int i = 0; i < 400; ++i) {
    book.Record(service, zone, milliseconds(100));
  }
  cr_assert_geq(*book.Quantile(service, zone, 0.5), milliseconds(100));
  cr_assert_leq(*book.Quantile(service, zone, 0.5), milliseconds(106));
}

Test(LatencyBook, SaysNothingFromFewSamples) {
  LatencyBook book;
  book.Record(ServiceId("s1"), ZoneId("z"), milliseconds(10));
  cr_assert(!book.Quantile(ServiceId("s1"), ZoneId("z"), 0.5));
}

Test(LatencyBook, ANewServiceIsJudgedByTheFrontUntilItHasAnsweredEnough) {
  // After each start of a host nothing is hedged for seconds, or by a quantile
  // of three samples.
  LatencyBook book;
  const ZoneId zone("z");
  for (int i = 0; i < 1000; ++i) {
    book.Record(ServiceId("old"), zone, milliseconds(10));
  }
  book.Record(ServiceId("new"), zone, milliseconds(100));
  const auto slow = book.Quantile(ServiceId("new"), zone, 0.9);
  cr_assert_leq(*slow, milliseconds(11));
  for (int i = 0; i < 100; ++i) {
    book.Record(ServiceId("new"), zone, milliseconds(100));
  }
  const auto own = book.Quantile(ServiceId("new"), zone, 0.9);
  cr_assert_geq(*own, milliseconds(100));
}

Test(TokenBudget, GivesAShareOfFirstTriesAndASmallBurst) {
  TokenBudget budget({.share = 0.05, .burst = 2});
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstTry();
  }
  cr_assert(budget.Take());
  cr_assert(budget.Take());
  cr_assert(!budget.Take(), "a quiet hour saves up no more");
}

Test(TokenBudget, KeepsHalfForWhatIsUrgent) {
  // Stragglers wait in full: requests a little over the quantile, of which
  // there are five times as many, have used the budget up.
  TokenBudget budget({.share = 0.05, .burst = 4});
  cr_assert(budget.CanTake(false));
  budget.Take();
  budget.Take();
  cr_assert(!budget.CanTake(false));
  cr_assert(budget.CanTake(true));
}

class Choosing {
 public:
  std::optional<TargetCandidate> Choose() {
    const ZoneId here("here");
    const std::function<uint64_t()> next = [this] { return this->random(); };
    return ChooseReplica(this->targets, {.own_zone = here,
                                         .snapshot = kOld,
                                         .excluded = {},
                                         .slots = 2,
                                         .random = next});
  }

  std::vector<TargetCandidate> targets{
      {.target = TargetId("far"), .zone = ZoneId("there"), .holds = {kOld}},
      {.target = TargetId("near"), .zone = ZoneId("here"), .holds = {kOld}}};
  std::mt19937_64 random{1};
};

Test(ReplicaChoice, TakesTheOwnZoneOfTwoThatAreAboutAsBusy) {
  Choosing choosing;
  choosing.targets[1].in_flight = 1;
  cr_assert_eq(choosing.Choose()->target, TargetId("near"));
  choosing.targets[1].queued = 1;
  cr_assert_eq(choosing.Choose()->target, TargetId("far"));
}

Test(ReplicaChoice, SpreadsOverAllZonesAndSparesTheBusiest) {
  // A search front is slow at half load: hosts of one zone all ask the same
  // target, while the targets of a zone with few hosts idle.
  Choosing choosing;
  choosing.targets.push_back(
      {.target = TargetId("busy"), .zone = ZoneId("here"), .holds = {kOld}});
  choosing.targets[2].in_flight = 2;
  std::map<TargetId, int> chosen;
  for (int i = 0; i < 300; ++i) {
    chosen[choosing.Choose()->target] += 1;
  }
  cr_assert_eq(chosen[TargetId("busy")], 0);
  cr_assert_gt(chosen[TargetId("far")], 60);
  cr_assert_gt(chosen[TargetId("near")], 150);
}

Test(ReplicaChoice, AFullColdOneGetsNothingWhileAWarmOneIsThere) {
  // A cold searcher of the own zone falls over under its zone's full load.
  Choosing choosing;
  choosing.targets[1].state = TargetState::kCold;
  choosing.targets[1].in_flight = 1;
  choosing.targets[0].in_flight = 2;
  for (int i = 0; i < 300; ++i) {
    cr_assert_eq(choosing.Choose()->target, TargetId("far"));
  }
}

Test(ReplicaChoice, AColdOneWithRoomIsWarmedByAFewRequests) {
  // Answers lack a service at the tail target, and stay so: two of its three
  // replicas are cold, get no work while the third is warm, and so never warm.
  Choosing choosing;
  choosing.targets[1].state = TargetState::kCold;
  int warming = 0;
  for (int i = 0; i < 800; ++i) {
    warming += choosing.Choose()->target == TargetId("near") ? 1 : 0;
  }
  cr_assert_gt(warming, 60);
  cr_assert_lt(warming, 140);
}

Test(ReplicaChoice, NeverOneThatLeavesOrIsOut) {
  Choosing choosing;
  choosing.targets[0].state = TargetState::kLeaving;
  choosing.targets[1].usable = false;
  cr_assert(!choosing.Choose());
}

Test(SnapshotChoice, AWholeOlderAnswerGoesBeforeAPartOfANewer) {
  QueryTestWorld world;
  world.Target("s1", 0).holds = {kOld, kNew};
  world.Target("s1", 1).holds = {kOld, kNew};
  const auto choice = ChooseSnapshot(world.front, world.targets, {});
  cr_assert_eq(choice->snapshot, kOld);
  const auto newest =
      ChooseSnapshot(world.front, world.targets, {.enough_coverage = 0.5});
  cr_assert_eq(newest->snapshot, kNew);
}

Test(SnapshotChoice, TheFirstHoldersOfANewVersionAreNotGivenAllOfTheLoad) {
  // Each roll-out sheds: one searcher a service has the new version, and all
  // queries go to these, past what they bear.
  QueryTestWorld world;
  for (const char* service : {"s1", "s2"}) {
    world.AddTarget(service, "c", "elsewhere");
    world.Target(service, 0).holds = {kOld, kNew};
  }
  cr_assert_eq(ChooseSnapshot(world.front, world.targets, {})->snapshot, kOld);
  for (const char* service : {"s1", "s2"}) {
    world.Target(service, 1).holds = {kOld, kNew};
  }
  cr_assert_eq(ChooseSnapshot(world.front, world.targets, {})->snapshot, kNew);
}

Test(SnapshotChoice, AGenerationWithoutManifestIsNeverChosen) {
  QueryTestWorld world;
  for (auto& [service, candidates] : world.targets) {
    for (TargetCandidate& candidate : candidates) {
      candidate.holds.push_back({.generation = 9, .index_version = 1});
    }
  }
  cr_assert_eq(ChooseSnapshot(world.front, world.targets, {})->snapshot, kOld);
}

}  // namespace
}  // namespace knapweedroad
