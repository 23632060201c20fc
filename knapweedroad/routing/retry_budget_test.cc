#include "knapweedroad/routing/retry_budget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Evenly distributed over hosts, in no particular order.
double RoundingThreshold(size_t host) {
  constexpr double kGoldenRatio = 0.6180339887;
  return std::fmod(static_cast<double>(host + 1) * kGoldenRatio, 1);
}

// Guards against exceeding the bound while a service's targets fail for half a
// minute and every request asks for a retry. Nine hosts together keep to it in
// each window, wherever the window begins.
Test(retry_budget, nine_hosts_keep_to_the_bound_in_every_window) {
  constexpr size_t kHosts = 9;
  const RetryBudgetLimits limits{
      .ratio = 0.2, .slack = 58, .window = seconds(10)};
  std::vector<RetryBudget> hosts;
  for (size_t host = 0; host < kHosts; ++host) {
    hosts.emplace_back(limits, TimePoint(seconds(50)), RoundingThreshold(host));
  }
  std::deque<TimePoint> extra;
  std::deque<TimePoint> requests;
  for (Duration at{}; at < seconds(40); at += milliseconds(5)) {
    const TimePoint now = TimePoint(seconds(100)) + at;
    const size_t host = (at / milliseconds(5)) % kHosts;
    hosts[host].OnRequest(now);
    requests.push_back(now);
    if (hosts[host].SpendRetry(kHosts, now)) {
      extra.push_back(now);
    }
    while (now - extra.front() >= limits.window) {
      extra.pop_front();
    }
    while (now - requests.front() >= limits.window) {
      requests.pop_front();
    }
    const double bound =
        limits.ratio * static_cast<double>(requests.size()) + limits.slack;
    cr_assert(static_cast<double>(extra.size()) <= bound);
  }
  cr_expect(extra.size() > 300, "%zu", extra.size());
}

// Guards against hedges of slow attempts that use up the budget, so that failed
// attempts can't be retried.
Test(retry_budget, hedges_leave_as_much_as_retries_use) {
  const TimePoint now{seconds(100)};
  const RetryBudgetLimits limits{
      .ratio = 0, .slack = 50.1, .window = seconds(10)};  // 36 for one host
  const auto hedges_after = [&](int retries) {
    RetryBudget budget(limits, now - seconds(60), /*rounding_threshold=*/1);
    for (int i = 0; i < retries; ++i) {
      cr_assert(budget.SpendRetry(1, now));
    }
    int hedges = 0;
    while (budget.SpendHedge(1, now)) {
      ++hedges;
    }
    return hedges;
  };
  cr_expect(hedges_after(0) == 32);
  cr_expect(hedges_after(6) == 24);
  cr_expect(hedges_after(18) == 0);
  RetryBudget budget(limits, now - seconds(60), /*rounding_threshold=*/1);
  while (budget.SpendHedge(1, now)) {
  }
  cr_expect(budget.SpendRetry(1, now));
}

// Guards against hosts that exceed the bound together after they are restarted,
// one after the other or all at once, and again soon after, while targets fail.
// A restarted host has lost its counts.
Test(retry_budget, hosts_that_are_restarted_keep_to_the_bound) {
  constexpr Duration kStep = milliseconds(5);
  const RetryBudgetLimits limits{
      .ratio = 0, .slack = 428, .window = seconds(10)};
  for (const size_t host_count : {1, 9, 200}) {
    for (const Duration restart_interval :
         {Duration::zero(), Duration(milliseconds(40))}) {
      std::vector<RetryBudget> hosts;
      for (size_t host = 0; host < host_count; ++host) {
        hosts.emplace_back(limits, TimePoint(seconds(50)),
                           RoundingThreshold(host));
      }
      std::deque<TimePoint> extra;
      for (Duration at{}; at < seconds(40); at += kStep) {
        const TimePoint now = TimePoint(seconds(100)) + at;
        for (size_t host = 0; host < host_count; ++host) {
          const Duration since = at - seconds(15) - restart_interval * host;
          if (since == Duration::zero() || since == seconds(4)) {
            hosts[host] = RetryBudget(limits, now, RoundingThreshold(host));
          }
        }
        for (RetryBudget& host : hosts) {
          if (host.SpendRetry(host_count, now)) {
            extra.push_back(now);
          }
        }
        while (!extra.empty() && now - extra.front() >= limits.window) {
          extra.pop_front();
        }
        cr_assert(static_cast<double>(extra.size()) <= limits.slack);
      }
    }
  }
}

// Guards against exceeding the bound because most hosts of a fleet happen to
// round their shares up.
Test(retry_budget, random_rounding_thresholds_keep_to_the_bound) {
  constexpr size_t kHosts = 16;
  constexpr size_t kRequests = 8;
  constexpr int kFleets = 200;
  const RetryBudgetLimits limits{
      .ratio = 0.2, .slack = 0, .window = seconds(10)};
  const TimePoint now{seconds(100)};
  std::minstd_rand random(1);
  std::uniform_real_distribution<double> thresholds(0, 1);
  for (int fleet = 0; fleet < kFleets; ++fleet) {
    size_t extra = 0;
    for (size_t host = 0; host < kHosts; ++host) {
      RetryBudget budget(limits, now, thresholds(random));
      for (size_t request = 0; request < kRequests; ++request) {
        budget.OnRequest(now);
      }
      while (budget.SpendRetry(kHosts, now)) {
        ++extra;
      }
    }
    cr_assert(static_cast<double>(extra) <= limits.ratio * kHosts * kRequests);
  }
}

// Guards against a fleet that loses every late part of its answers for a whole
// window after a power loss, because no host may hedge.
Test(retry_budget, a_host_that_has_just_started_may_hedge) {
  const TimePoint started{seconds(100)};
  RetryBudget budget({.ratio = 0, .slack = 40, .window = seconds(10)}, started,
                     /*rounding_threshold=*/1);
  cr_expect(budget.SpendHedge(1, started + seconds(1)));
}

// Guards against many hosts with few requests each that never hedge because no
// host's share is a whole attempt. They have just started. Together they use
// most of the bound, and don't exceed it in any window.
Test(retry_budget, many_hosts_with_few_requests_use_the_bound_together) {
  constexpr size_t kHosts = 200;
  const RetryBudgetLimits limits{
      .ratio = 0.2, .slack = 0, .window = seconds(10)};
  const TimePoint started{seconds(100)};
  std::vector<RetryBudget> hosts;
  for (size_t host = 0; host < kHosts; ++host) {
    hosts.emplace_back(limits, started, RoundingThreshold(host));
  }
  constexpr Duration kRequestInterval = milliseconds(20);
  std::deque<TimePoint> extra;
  for (Duration at{}; at < seconds(60); at += kRequestInterval) {
    const TimePoint now = started + at;
    RetryBudget& host = hosts[(at / kRequestInterval) % kHosts];
    host.OnRequest(now);
    if (host.SpendHedge(kHosts, now)) {
      extra.push_back(now);
    }
    while (!extra.empty() && now - extra.front() >= limits.window) {
      extra.pop_front();
    }
    const auto requests =
        static_cast<double>(std::min(at, limits.window) / kRequestInterval + 1);
    cr_assert(static_cast<double>(extra.size()) <= limits.ratio * requests + 1);
    if (at >= limits.window) {
      cr_assert(static_cast<double>(extra.size()) >=
                limits.ratio * requests / 2);
    }
  }
}

}  // namespace
}  // namespace knapweedroad
