#include "knapweedroad/routing/concurrency_limit.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

namespace knapweedroad {
namespace {

constexpr size_t kSlots = 3;
constexpr size_t kCap = 3;
constexpr size_t kHosts = 8;

// Eight hosts with more to send than one target of three slots gets through;
// in each round it ends as many as it has slots and reports its queue to the
// hosts whose requests those were. Returns its longest queue after a while.
size_t LongestQueue(std::array<ConcurrencyLimit, kHosts>& limits) {
  constexpr int kRounds = 400;
  std::array<size_t, kHosts> in_flight{};
  size_t longest = 0;
  size_t next = 0;
  for (int round = 0; round < kRounds; ++round) {
    size_t total = 0;
    for (size_t host = 0; host < kHosts; ++host) {
      in_flight[host] =
          std::max(in_flight[host], limits[host].MaxInFlight(kCap));
      total += in_flight[host];
    }
    if (round > kRounds / 2) {
      longest = std::max(longest, total - std::min(total, kSlots));
    }
    for (size_t completed = 0; completed < kSlots && total > 0; ++next) {
      const size_t host = next % kHosts;
      if (in_flight[host] == 0) {
        continue;
      }
      --in_flight[host];
      --total;
      ++completed;
      const size_t running = std::min(total, kSlots);
      limits[host].OnLoadReport(
          {.running = static_cast<uint32_t>(running),
           .waiting = static_cast<uint32_t>(total - running)},
          kSlots, kCap);
    }
  }
  return longest;
}

// Two of three targets of a shard are gone, and every host fills the queue of
// the third. Callers get all of its answers late, seven service times after
// they were asked for. With bounds that follow its queue, twice its slots wait
// at most: one request of each host, and one more now and then.
Test(concurrency_limit, hosts_together_keep_a_short_queue) {
  std::array<ConcurrencyLimit, kHosts> limits;
  const size_t longest = LongestQueue(limits);
  cr_expect(longest <= 3 * kSlots, "%zu", longest);
}

// The targets are back. Each host may use all of its connections again.
Test(concurrency_limit, without_a_queue_the_whole_cap_is_used_again) {
  ConcurrencyLimit limit;
  for (int i = 0; i < 20; ++i) {
    limit.OnLoadReport({.running = 3, .waiting = 12}, kSlots, kCap);
  }
  cr_expect_eq(limit.MaxInFlight(kCap), 1);
  for (int i = 0; i < 30; ++i) {
    limit.OnLoadReport({.running = 2, .waiting = 0}, kSlots, kCap);
  }
  cr_expect_eq(limit.MaxInFlight(kCap), kCap);
}

Test(concurrency_limit, a_target_that_reports_no_load_may_get_the_cap) {
  cr_expect_eq(ConcurrencyLimit().MaxInFlight(kCap), kCap);
}

}  // namespace
}  // namespace knapweedroad
