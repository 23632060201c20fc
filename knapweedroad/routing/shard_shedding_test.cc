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

// Requests at 100 a second, each leaving out one shard at the most. `room` says
// how many of a shard's parts a second are in time, in the order of kShards.
struct Served {
  int whole = 0;
  int short_of_one = 0;
  int late = 0;
};

Served Load(ShardShedding& shedding,
            const std::array<int, 4>& room,
            Duration length,
            TimePoint begin) {
  constexpr int kRate = 100;
  Served served;
  std::array<double, 4> left{};
  for (TimePoint now = begin; now < begin + length;
       now += milliseconds(1000 / kRate)) {
    const auto left_out = shedding.Choose(kShards, 1, now);
    cr_assert(left_out.size() <= 1);
    bool is_late = false;
    for (size_t i = 0; i < kShards.size(); ++i) {
      left[i] = std::min(left[i] + static_cast<double>(room[i]) / kRate, 2.0);
      if (!left_out.empty() && left_out.front() == i) {
        continue;
      }
      const bool in_time = left[i] >= 1;
      left[i] -= in_time ? 1 : 0;
      is_late |= !in_time;
      shedding.OnPart(kShards[i], in_time, now + milliseconds(100));
    }
    served.late += is_late ? 1 : 0;
    served.whole += !is_late && left_out.empty() ? 1 : 0;
    served.short_of_one += !is_late && !left_out.empty() ? 1 : 0;
  }
  return served;
}

// Two of four shards have lost targets and get through six in ten requests.
// Asked by all, both are late for nearly all callers, and no answer has its
// least share in time. Left out by turns, most callers are served in time.
Test(shard_shedding, two_short_shards_are_left_out_by_turns) {
  ShardShedding shedding({.seed = 7});
  Load(shedding, {60, 60, 100, 100}, seconds(3), kStart);
  const Served served =
      Load(shedding, {60, 60, 100, 100}, seconds(10), kStart + seconds(3));
  // Four in ten must do without the one, four without the other.
  cr_expect(served.short_of_one >= 600, "%d", served.short_of_one);
  cr_expect(served.late <= 250, "%d", served.late);
}

// The shard has its targets back. A caller sees whole answers again within
// seconds, though few requests still asked it.
Test(shard_shedding, a_shard_with_room_again_is_asked_again) {
  ShardShedding shedding({.seed = 7});
  Load(shedding, {10, 100, 100, 100}, seconds(5), kStart);
  Load(shedding, {100, 100, 100, 100}, seconds(8), kStart + seconds(5));
  const Served served =
      Load(shedding, {100, 100, 100, 100}, seconds(2), kStart + seconds(13));
  cr_expect(served.whole >= 190, "%d", served.whole);
}

// Pauses make one part in twenty late. No caller loses coverage for it.
Test(shard_shedding, a_shard_that_is_late_now_and_then_is_asked_by_all) {
  ShardShedding shedding({.seed = 7});
  const Served served =
      Load(shedding, {95, 100, 100, 100}, seconds(20), kStart);
  cr_expect(served.whole >= 1800, "%d", served.whole);
}

// One shard is short, and one may be missing. Half of its parts come in time;
// left out, callers would lose those without being answered any better.
Test(shard_shedding, as_many_short_shards_as_may_be_missing_are_asked) {
  ShardShedding shedding({.seed = 7});
  const Served served = Load(shedding, {50, 100, 100, 100}, seconds(5), kStart);
  cr_expect_eq(served.short_of_one, 0);
}

// The least share allows none to be missing.
Test(shard_shedding, nothing_is_left_out_where_all_are_needed) {
  ShardShedding shedding({.seed = 7});
  for (int i = 0; i < 100; ++i) {
    shedding.OnPart(kShards[0], /*in_time=*/false, kStart);
  }
  cr_expect(shedding.ShareOf(kShards[0], kStart) > 0.8);
  cr_expect(shedding.Choose(kShards, 0, kStart).empty());
}

}  // namespace
}  // namespace knapweedroad
