// Tests of the components that queries use: coverage, hit merging, latency
// quantiles, budgets, and the choice of replica and snapshot.

#include <criterion/criterion.h>

#include <random>

#include "knapweedroad/query/coverage.h"
#include "knapweedroad/query/hit_merge.h"
#include "knapweedroad/query/latency_tracker.h"
#include "knapweedroad/query/query_test_fixture.h"
#include "knapweedroad/query/replica_choice.h"
#include "knapweedroad/query/snapshot_choice.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

Test(Coverage, OnlyACompleteAnswerRoundsToOne) {
  const Coverage almost{.units_answered = 9'999'999, .units_total = 10'000'000};
  cr_assert_eq(almost.ToText(), "0.9999");
  cr_assert_lt(almost.Value(), 1.0);
  const Coverage complete{.units_answered = 3, .units_total = 3};
  cr_assert_eq(complete.ToText(), "1.0000");
}

Test(HitMerge, ReturnsTheBestHitsWithoutDuplicates) {
  const auto merged = MergeHits(
      {{"b", 0.5}, {"a", 0.5}, {"c", 0.9}, {"c", 0.7}, {"d", 0.1}}, 3);
  const std::vector<Hit> expected{{"c", 0.9}, {"a", 0.5}, {"b", 0.5}};
  cr_assert(merged == expected);
}

Test(LatencyTracker, QuantileFollowsASlowerService) {
  LatencyTracker tracker(200);
  const ServiceId service("s1");
  const ZoneId zone("z");
  for (int i = 0; i < 1000; ++i) {
    tracker.Record(service, zone, milliseconds(10));
  }
  for (int i = 0; i < 400; ++i) {
    tracker.Record(service, zone, milliseconds(100));
  }
  cr_assert_geq(*tracker.Quantile(service, zone, 0.5), milliseconds(100));
  cr_assert_leq(*tracker.Quantile(service, zone, 0.5), milliseconds(106));
}

Test(LatencyTracker, NoQuantileFromTooFewSamples) {
  LatencyTracker tracker;
  tracker.Record(ServiceId("s1"), ZoneId("z"), milliseconds(10));
  cr_assert(!tracker.Quantile(ServiceId("s1"), ZoneId("z"), 0.5));
}

Test(LatencyTracker, ANewServiceUsesTheQuantileOfAllServices) {
  // Guards against hedging nothing for seconds after a host starts, and against
  // hedging by a quantile of three samples.
  LatencyTracker tracker;
  const ZoneId zone("z");
  for (int i = 0; i < 1000; ++i) {
    tracker.Record(ServiceId("old"), zone, milliseconds(10));
  }
  tracker.Record(ServiceId("new"), zone, milliseconds(100));
  const auto slow = tracker.Quantile(ServiceId("new"), zone, 0.9);
  cr_assert_leq(*slow, milliseconds(11));
  for (int i = 0; i < 100; ++i) {
    tracker.Record(ServiceId("new"), zone, milliseconds(100));
  }
  const auto own = tracker.Quantile(ServiceId("new"), zone, 0.9);
  cr_assert_geq(*own, milliseconds(100));
}

Test(TokenBudget, SavesUpNoMoreThanTheBurst) {
  TokenBudget budget({.share = 0.05, .burst = 2});
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
  }
  cr_assert(budget.TryTake());
  cr_assert(budget.TryTake());
  cr_assert(!budget.TryTake(), "no more than `burst` tokens are saved up");
}

Test(TokenBudget, ReservesHalfForUrgentAttempts) {
  // Guards against very slow attempts that are not hedged because slightly slow
  // ones, which are five times as frequent, have used up the budget.
  TokenBudget budget({.share = 0.05, .burst = 4});
  cr_assert(budget.CanTake(false));
  budget.TryTake();
  budget.TryTake();
  cr_assert(!budget.CanTake(false));
  cr_assert(budget.CanTake(true));
}

class ReplicaChoiceFixture {
 public:
  std::optional<TargetCandidate> Choose() {
    const ZoneId own_zone("here");
    const std::function<uint64_t()> next = [this] { return this->random(); };
    return ChooseReplica(this->targets, {.own_zone = own_zone,
                                         .snapshot = kOldSnapshot,
                                         .excluded = {},
                                         .slots = 2,
                                         .random = next});
  }

  std::vector<TargetCandidate> targets{{.target = TargetId("far"),
                                        .zone = ZoneId("there"),
                                        .snapshots = {kOldSnapshot}},
                                       {.target = TargetId("near"),
                                        .zone = ZoneId("here"),
                                        .snapshots = {kOldSnapshot}}};
  std::mt19937_64 random{1};
};

Test(ReplicaChoice, PrefersTheOwnZoneAtSimilarLoad) {
  ReplicaChoiceFixture fixture;
  fixture.targets[1].in_flight = 1;
  cr_assert_eq(fixture.Choose()->target, TargetId("near"));
  fixture.targets[1].queued = 1;
  cr_assert_eq(fixture.Choose()->target, TargetId("far"));
}

Test(ReplicaChoice, UsesAllZonesAndAvoidsTheBusiestTarget) {
  // Guards against high latency at half load: the hosts of one zone all choose
  // the same target, while the targets of a zone with few hosts are idle.
  ReplicaChoiceFixture fixture;
  fixture.targets.push_back({.target = TargetId("busy"),
                             .zone = ZoneId("here"),
                             .snapshots = {kOldSnapshot}});
  fixture.targets[2].in_flight = 2;
  std::map<TargetId, int> chosen;
  for (int i = 0; i < 300; ++i) {
    chosen[fixture.Choose()->target] += 1;
  }
  cr_assert_eq(chosen[TargetId("busy")], 0);
  cr_assert_gt(chosen[TargetId("far")], 60);
  cr_assert_gt(chosen[TargetId("near")], 150);
}

Test(ReplicaChoice, AFullColdTargetIsNotChosenWhileAWarmOneExists) {
  // Guards against sending all of a zone's load to a cold target in that zone,
  // which overloads it.
  ReplicaChoiceFixture fixture;
  fixture.targets[1].state = TargetState::kCold;
  fixture.targets[1].in_flight = 1;
  fixture.targets[0].in_flight = 2;
  for (int i = 0; i < 300; ++i) {
    cr_assert_eq(fixture.Choose()->target, TargetId("far"));
  }
}

Test(ReplicaChoice, AColdTargetWithAFreeSlotGetsAFewRequests) {
  // Guards against answers that permanently miss a service at the tail target:
  // two of its three replicas are cold, get no requests while the third is
  // warm, and therefore stay cold.
  ReplicaChoiceFixture fixture;
  fixture.targets[1].state = TargetState::kCold;
  int chosen_cold = 0;
  for (int i = 0; i < 800; ++i) {
    chosen_cold += fixture.Choose()->target == TargetId("near") ? 1 : 0;
  }
  cr_assert_gt(chosen_cold, 60);
  cr_assert_lt(chosen_cold, 140);
}

Test(ReplicaChoice, NeverChoosesALeavingOrUnusableTarget) {
  ReplicaChoiceFixture fixture;
  fixture.targets[0].state = TargetState::kLeaving;
  fixture.targets[1].usable = false;
  cr_assert(!fixture.Choose());
}

Test(SnapshotChoice, PrefersACompleteOlderSnapshotToAPartialNewerOne) {
  QueryTestFixture fixture;
  fixture.Target("s1", 0).snapshots = {kOldSnapshot, kNewSnapshot};
  fixture.Target("s1", 1).snapshots = {kOldSnapshot, kNewSnapshot};
  const auto choice = ChooseSnapshot(fixture.front, fixture.targets, {});
  cr_assert_eq(choice->snapshot, kOldSnapshot);
  const auto newest = ChooseSnapshot(fixture.front, fixture.targets,
                                     {.sufficient_coverage = 0.5});
  cr_assert_eq(newest->snapshot, kNewSnapshot);
}

Test(SnapshotChoice, ANewSnapshotIsNotChosenWhileFewTargetsHoldIt) {
  // Guards against load shedding in each roll-out: all queries go to the first
  // target of each service that has the new version and exceed its capacity.
  QueryTestFixture fixture;
  for (const char* service : {"s1", "s2"}) {
    fixture.AddTarget(service, "c", "elsewhere");
    fixture.Target(service, 0).snapshots = {kOldSnapshot, kNewSnapshot};
  }
  cr_assert_eq(ChooseSnapshot(fixture.front, fixture.targets, {})->snapshot,
               kOldSnapshot);
  for (const char* service : {"s1", "s2"}) {
    fixture.Target(service, 1).snapshots = {kOldSnapshot, kNewSnapshot};
  }
  cr_assert_eq(ChooseSnapshot(fixture.front, fixture.targets, {})->snapshot,
               kNewSnapshot);
}

Test(SnapshotChoice, AGenerationWithoutManifestIsNeverChosen) {
  QueryTestFixture fixture;
  for (auto& [service, candidates] : fixture.targets) {
    for (TargetCandidate& candidate : candidates) {
      candidate.snapshots.push_back({.generation = 9, .index_version = 1});
    }
  }
  cr_assert_eq(ChooseSnapshot(fixture.front, fixture.targets, {})->snapshot,
               kOldSnapshot);
}

}  // namespace
}  // namespace knapweedroad
