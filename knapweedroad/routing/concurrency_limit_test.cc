#include "knapweedroad/routing/concurrency_limit.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

namespace knapweedroad {
namespace {

constexpr size_t kSlots = 3;
constexpr size_t kCap = 3;
constexpr size_t kHosts = 8;

// Simulates eight hosts that have more requests than one target with three
// slots can serve. In each round the target completes one request per slot and
// reports its queue to the hosts that sent them. Returns the longest queue in
// the second half of the simulation.
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

// Guards against late answers when two of a shard's three targets are gone and
// every host fills the queue of the third: each answer then took seven service
// times. With the limit, at most about twice the target's slots wait: one
// request of each host, and occasionally one more.
Test(concurrency_limit, keeps_the_shared_queue_short) {
  std::array<ConcurrencyLimit, kHosts> limits;
  const size_t longest = LongestQueue(limits);
  cr_expect(longest <= 3 * kSlots, "%zu", longest);
}

// Guards against a limit that stays low after lost targets have come back.
Test(concurrency_limit, rises_to_the_cap_again_without_a_queue) {
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

Test(concurrency_limit, equals_the_cap_before_the_first_load_report) {
  cr_expect_eq(ConcurrencyLimit().MaxInFlight(kCap), kCap);
}

}  // namespace
}  // namespace knapweedroad
