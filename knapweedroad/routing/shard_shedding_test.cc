#include "knapweedroad/routing/shard_shedding.h"

#include <criterion/criterion.h>

#include <array>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
const std::array kShards{ServiceId("a"), ServiceId("b"), ServiceId("c"),
                         ServiceId("d")};

// Requests by result: all parts were in time, one shard was skipped and the
// other parts were in time, or some part was late.
struct RequestCounts {
  int complete = 0;
  int skipped_one = 0;
  int late = 0;
};

// Runs 100 requests a second, each of which skips at most one shard.
// `capacity`: how many of a shard's parts a second are in time, in the order of
// kShards.
RequestCounts RunLoad(ShardShedding& shedding,
                      const std::array<int, 4>& capacity,
                      Duration length,
                      TimePoint begin) {
  constexpr int kRate = 100;
  RequestCounts counts;
  std::array<double, 4> tokens{};
  for (TimePoint now = begin; now < begin + length;
       now += milliseconds(1000 / kRate)) {
    const auto skipped = shedding.ChooseShardsToSkip(kShards, 1, now);
    cr_assert(skipped.size() <= 1);
    bool is_late = false;
    for (size_t i = 0; i < kShards.size(); ++i) {
      tokens[i] =
          std::min(tokens[i] + static_cast<double>(capacity[i]) / kRate, 2.0);
      if (!skipped.empty() && skipped.front() == i) {
        continue;
      }
      const bool in_time = tokens[i] >= 1;
      tokens[i] -= in_time ? 1 : 0;
      is_late |= !in_time;
      shedding.OnPart(kShards[i], in_time, now + milliseconds(100));
    }
    counts.late += is_late ? 1 : 0;
    counts.complete += !is_late && skipped.empty() ? 1 : 0;
    counts.skipped_one += !is_late && !skipped.empty() ? 1 : 0;
  }
  return counts;
}

// Guards against two of four shards that have lost targets, can serve six in
// ten requests, and are late for nearly all if each request asks both. If
// requests skip one or the other, most are answered in time.
Test(shard_shedding, two_overloaded_shards_are_skipped_in_turn) {
  ShardShedding shedding({.seed = 7});
  RunLoad(shedding, {60, 60, 100, 100}, seconds(3), kStart);
  const RequestCounts counts =
      RunLoad(shedding, {60, 60, 100, 100}, seconds(10), kStart + seconds(3));
  // Four in ten requests must skip the one shard, and four the other.
  cr_expect(counts.skipped_one >= 600, "%d", counts.skipped_one);
  cr_expect(counts.late <= 250, "%d", counts.late);
}

// Guards against a shard that stays skipped after its targets are back because
// few requests ask it. Answers are complete again within seconds.
Test(shard_shedding, a_shard_that_has_recovered_is_asked_again) {
  ShardShedding shedding({.seed = 7});
  RunLoad(shedding, {10, 100, 100, 100}, seconds(5), kStart);
  RunLoad(shedding, {100, 100, 100, 100}, seconds(8), kStart + seconds(5));
  const RequestCounts counts =
      RunLoad(shedding, {100, 100, 100, 100}, seconds(2), kStart + seconds(13));
  cr_expect(counts.complete >= 190, "%d", counts.complete);
}

// Guards against incomplete answers because short stalls make one part in
// twenty late.
Test(shard_shedding, a_shard_that_is_occasionally_late_is_not_skipped) {
  ShardShedding shedding({.seed = 7});
  const RequestCounts counts =
      RunLoad(shedding, {95, 100, 100, 100}, seconds(20), kStart);
  cr_expect(counts.complete >= 1800, "%d", counts.complete);
}

// Guards against skipping the one overloaded shard where one part may be
// missing. Half of its parts are in time. Skipping it would lose those and make
// no answer faster.
Test(shard_shedding, overloaded_shards_that_may_be_missing_are_asked) {
  ShardShedding shedding({.seed = 7});
  const RequestCounts counts =
      RunLoad(shedding, {50, 100, 100, 100}, seconds(5), kStart);
  cr_expect_eq(counts.skipped_one, 0);
}

// Guards against skipping a shard where no part may be missing.
Test(shard_shedding, no_shard_is_skipped_where_all_are_needed) {
  ShardShedding shedding({.seed = 7});
  for (int i = 0; i < 100; ++i) {
    shedding.OnPart(kShards[0], /*in_time=*/false, kStart);
  }
  cr_expect(shedding.SkipShareOf(kShards[0], kStart) > 0.8);
  cr_expect(shedding.ChooseShardsToSkip(kShards, 0, kStart).empty());
}

}  // namespace
}  // namespace knapweedroad
