#include "knapweedroad/overload/waiting_line.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
constexpr Duration kPoll = milliseconds(4);

// Requests of one kind that come at a steady rate.
struct Load {
  uint32_t priority = 0;
  const char* account = "";
  double per_second = 0;
};

// The requests of a load that came and those that got a place before their
// deadline.
struct Served {
  size_t came = 0;
  size_t served = 0;
  double share() const {
    return static_cast<double>(this->served) /
           static_cast<double>(std::max<size_t>(this->came, 1));
  }
};

// Lets the loads compete for `places_per_second` places.
std::vector<Served> Compete(const std::vector<Load>& loads,
                            double places_per_second,
                            Duration duration) {
  WaitingLine line({});
  std::vector<Served> result(loads.size());
  std::vector<double> due(loads.size());
  std::map<uint64_t, size_t> load_of;
  std::vector<WaitingRequest> waiting;
  double free_places = 0;
  uint64_t next_id = 0;
  for (TimePoint now = kStart; now < kStart + duration; now += kPoll) {
    const double step = std::chrono::duration<double>(kPoll).count();
    free_places = std::min(free_places + places_per_second * step, 2.0);
    for (size_t i = 0; i < loads.size(); ++i) {
      for (due[i] += loads[i].per_second * step; due[i] >= 1; --due[i]) {
        waiting.push_back({.id = ++next_id,
                           .priority = loads[i].priority,
                           .account = AccountId(loads[i].account),
                           .deadline = now + milliseconds(400)});
        load_of[next_id] = i;
        ++result[i].came;
      }
    }
    std::erase_if(waiting, [&](const WaitingRequest& request) {
      if (now >= request.deadline || line.IsHopeless(request, now)) {
        line.Leave(request.id);
        return true;
      }
      if (free_places >= 1 && line.IsNext(request, now)) {
        line.OnStarted(request, now);
        --free_places;
        ++result[load_of[request.id]].served;
        return true;
      }
      line.Wait(request, now);
      return false;
    });
  }
  return result;
}

// Load pattern: a burst of the least urgent requests beside urgent ones that
// fit. Guards against urgent requests that wait behind the burst.
Test(waiting_line, a_burst_of_less_urgent_requests_costs_urgent_ones_nothing) {
  const auto served = Compete(
      {{.priority = 0, .per_second = 40}, {.priority = 2, .per_second = 260}},
      100, seconds(10));
  cr_expect_geq(served[0].share(), 0.99, "%g", served[0].share());
  cr_expect_geq(static_cast<double>(served[0].served + served[1].served),
                0.9 * 100 * 10);
}

// Load pattern: a burst of the most urgent requests. Guards against starvation:
// the least urgent must get a quarter of the share of all.
Test(waiting_line, a_burst_of_urgent_requests_does_not_starve_others) {
  const auto served = Compete(
      {{.priority = 0, .per_second = 400}, {.priority = 1, .per_second = 30}},
      100, seconds(10));
  const double all = static_cast<double>(served[0].served + served[1].served) /
                     static_cast<double>(served[0].came + served[1].came);
  cr_expect_geq(served[1].share(), all / 4, "%g of %g", served[1].share(), all);
}

// Load pattern: one account sends seven times as much as the others of its
// priority. Guards against a hot account that takes the share of others.
Test(waiting_line, a_hot_account_costs_others_nothing_of_their_fair_share) {
  const auto served = Compete({{.account = "hot", .per_second = 140},
                               {.account = "a", .per_second = 20},
                               {.account = "b", .per_second = 20},
                               {.account = "c", .per_second = 20}},
                              100, seconds(10));
  for (size_t i = 1; i < served.size(); ++i) {
    cr_expect_geq(served[i].share(), 0.9, "%zu: %g", i, served[i].share());
  }
  // What the others don't use goes to the one that asks for it.
  cr_expect_geq(served[0].served, 300, "%zu", served[0].served);
}

// Load pattern: steady overload by each class. Guards against goodput that is
// lost to requests which wait in vain.
Test(waiting_line, goodput_holds_under_steady_overload) {
  for (const double factor : {1.2, 2.0, 4.0}) {
    for (const uint32_t burst : {0, 1, 2}) {
      std::vector<Load> loads;
      for (const uint32_t priority : {0, 1, 2}) {
        loads.push_back(
            {.priority = priority,
             .per_second = priority == burst ? 100 * factor - 40 : 20});
      }
      const auto served = Compete(loads, 100, seconds(10));
      size_t all = 0;
      for (const Served& load : served) {
        all += load.served;
      }
      cr_expect_geq(static_cast<double>(all), 0.9 * 100 * 10, "%g %u: %zu",
                    factor, burst, all);
    }
  }
}

// Guards against refusals and waits that outlast the load.
Test(waiting_line, nobody_waits_after_the_load_has_ended) {
  WaitingLine line({});
  const WaitingRequest ended{.id = 1, .deadline = kStart + seconds(1)};
  line.Wait(ended, kStart);
  const WaitingRequest later{
      .id = 2, .priority = 3, .deadline = kStart + seconds(1)};
  cr_expect(!line.IsNext(later, kStart + milliseconds(10)));
  cr_expect(line.HasWaiterOf(0, kStart + milliseconds(10)));
  cr_expect(line.IsNext(later, kStart + milliseconds(11)));
  cr_expect(!line.HasWaiterOf(3, kStart + milliseconds(11)));
  cr_expect(line.size() == 0);
}

// Guards against a request that waits until its deadline although the places
// that become free show that it can't be served.
Test(waiting_line, a_request_without_a_chance_is_known_at_once) {
  WaitingLine line({});
  for (uint64_t id = 1; id <= 20; ++id) {
    line.Wait({.id = id, .deadline = kStart + seconds(9)}, kStart);
  }
  const WaitingRequest last{.id = 30, .deadline = kStart + milliseconds(500)};
  cr_expect(!line.IsHopeless(last, kStart));
  for (uint64_t id = 40; id < 50; ++id) {
    line.OnStarted({.id = id}, kStart);
  }
  cr_expect(line.IsHopeless(last, kStart + milliseconds(10)));
  const WaitingRequest patient{.id = 31, .deadline = kStart + seconds(3)};
  cr_expect(!line.IsHopeless(patient, kStart + milliseconds(10)));
}

// Guards against a busy host that takes the rate of places for the number of
// those that it remembers.
Test(waiting_line, a_line_that_moves_fast_is_not_hopeless) {
  WaitingLine line({});
  for (uint64_t id = 1; id <= 300; ++id) {
    line.OnStarted({.id = id}, kStart + id * milliseconds(1));
  }
  const TimePoint now = kStart + milliseconds(300);
  for (uint64_t id = 400; id < 500; ++id) {
    line.Wait({.id = id, .deadline = now + seconds(1)}, now);
  }
  cr_expect(
      !line.IsHopeless({.id = 600, .deadline = now + milliseconds(200)}, now));
  cr_expect(
      line.IsHopeless({.id = 600, .deadline = now + milliseconds(50)}, now));
}

}  // namespace
}  // namespace knapweedroad
