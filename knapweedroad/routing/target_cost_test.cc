// Tests of the choice of targets under load, in virtual time. Each compares two
// runs on the same load: with and without the service time in load reports.

#include "knapweedroad/routing/target_cost.h"

#include <criterion/criterion.h>

#include <functional>
#include <random>

#include "knapweedroad/routing/balanced_target.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/target_simulation.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = kSimulationStart;

struct Comparison {
  SimulationResult with;
  SimulationResult without;
};

Comparison Compare(SimulatedLoad load) {
  Comparison comparison;
  comparison.with = RunTargetSimulation(load);
  load.reports_service_time = false;
  comparison.without = RunTargetSimulation(load);
  cr_expect(comparison.with.answered == comparison.with.sent);
  return comparison;
}

// At any moment about one machine in seven takes 2.5 times as long, for half a
// second.
double NoisyNeighbour(size_t target, Duration at) {
  const auto phase = static_cast<uint64_t>(
      (at + milliseconds(70) * static_cast<int64_t>(target)) /
      milliseconds(500));
  std::minstd_rand random(
      static_cast<unsigned>(phase * 97 + target * 7919 + 1));
  random.discard(3);
  return random() % 7 == 0 ? 2.5 : 1;
}

// Guards against a slow machine that is avoided for the product of what it
// reports and what other hosts measured, although both are the same slowness.
Test(target_cost, slowness_that_other_hosts_measured_counts_once) {
  constexpr double kUsualNs = 10e6;
  constexpr double kSharedSlowdown = 3;
  BalancedTarget target;
  target.record.slots = 4;
  target.slowdown.OnReport(250, 100, kStart);
  target.shared_slowdown = kSharedSlowdown;
  const double cost = CostOf(target, {.usual_latency_ns = kUsualNs}, kStart);
  cr_expect(cost >= kUsualNs * kSharedSlowdown, "%g", cost);
  cr_expect(cost < kUsualNs * kSharedSlowdown * 1.01, "%g", cost);
}

// Load pattern: noisy neighbours. Without the value a host learns of a slow
// machine only from the answers that it has waited for.
Test(target_cost, noisy_neighbours_get_less_than_half_of_the_requests) {
  const auto [with, without] =
      Compare({.hosts = 4, .rate_per_host = 60, .slowness = NoisyNeighbour});
  cr_expect(with.SlowShare() < without.SlowShare() / 2, "%g %g",
            with.SlowShare(), without.SlowShare());
  cr_expect(with.p95_ms < without.p95_ms, "%g %g", with.p95_ms, without.p95_ms);
}

// Load pattern: noisy neighbours with 133 hosts of two requests a second each,
// whose reports are mostly older than a slow phase. Guards against a value that
// misleads where it says little, and against new connections.
Test(target_cost, many_hosts_gain_from_old_reports_too) {
  constexpr double kWantedShare = 0.05;
  const auto [with, without] = Compare({.hosts = 133,
                                        .rate_per_host = 2,
                                        .duration = seconds(60),
                                        .slowness = NoisyNeighbour,
                                        .keep_alive = seconds(5)});
  cr_expect(with.SlowShare() < without.SlowShare(), "%g %g", with.SlowShare(),
            without.SlowShare());
  cr_expect(with.p95_ms < without.p95_ms, "%g %g", with.p95_ms, without.p95_ms);
  const double share = static_cast<double>(with.new_connections) /
                       static_cast<double>(with.sent);
  cr_expect(share < kWantedShare, "%g", share);
  cr_expect(with.new_connections < without.new_connections / 2, "%zu %zu",
            with.new_connections, without.new_connections);
}

// Load pattern: all targets are noisy at once. Guards against losing requests
// or time when no target is better than the others.
Test(target_cost, nothing_is_lost_when_all_targets_are_noisy) {
  const auto [with, without] = Compare({.slowness = [](size_t, Duration at) {
    return at / seconds(2) % 2 == 0 ? 1 : 2.5;
  }});
  cr_expect(with.mean_ms < without.mean_ms * 1.03, "%g %g", with.mean_ms,
            without.mean_ms);
  cr_expect(with.p95_ms < without.p95_ms * 1.05, "%g %g", with.p95_ms,
            without.p95_ms);
}

// Load pattern: three speeds. Guards against counting a constant slowness
// twice, so that slow targets idle while the fast ones have queues.
Test(target_cost, three_speeds_are_used_as_measured) {
  constexpr double kSpeeds[] = {0.6, 1, 1.7};
  const auto [with, without] =
      Compare({.rate_per_host = 250, .slowness = [&](size_t target, Duration) {
                 return kSpeeds[target % 3];
               }});
  cr_expect(with.mean_ms < without.mean_ms * 1.03, "%g %g", with.mean_ms,
            without.mean_ms);
}

// Load pattern: false reports. Guards against a target that misleads the choice
// by what it reports: always normal but slow, always slow but normal, or
// changing ten times a second.
Test(target_cost, false_reports_change_little) {
  const std::function<uint32_t(Duration)> reports[] = {
      [](Duration) { return 100; }, [](Duration) { return 1000; },
      [](Duration at) {
        std::minstd_rand random(
            static_cast<unsigned>(at / milliseconds(100) + 1));
        random.discard(3);
        return 30 + random() % 600;
      }};
  for (const auto& report : reports) {
    const bool is_slow = &report == &reports[0];
    const auto [with, without] = Compare(
        {.slowness = [&](size_t target,
                         Duration) { return target == 0 && is_slow ? 2.5 : 1; },
         .reported = [&](size_t target, Duration at) -> uint32_t {
           return target == 0 ? report(at) : 100;
         }});
    cr_expect(with.mean_ms < without.mean_ms * 1.03, "%g %g", with.mean_ms,
              without.mean_ms);
    const double share = static_cast<double>(with.sent_by_target[0]);
    const double expected = static_cast<double>(without.sent_by_target[0]);
    cr_expect(share < expected * 1.3 + 20 && share > expected * 0.6, "%g %g",
              share, expected);
  }
}

// Load pattern: thundering herd of 133 hosts on the one good target. Guards
// against a queue there while the slower targets idle.
Test(target_cost, a_herd_of_hosts_does_not_overload_the_one_good_target) {
  const auto [with, without] = Compare(
      {.hosts = 133,
       .rate_per_host = 6,
       .duration = seconds(8),
       .slowness = [](size_t target, Duration at) {
         return target != 0 && at >= seconds(3) && at < seconds(5) ? 2.5 : 1;
       }});
  cr_expect(with.mean_ms < without.mean_ms * 1.05, "%g %g", with.mean_ms,
            without.mean_ms);
  cr_expect(with.longest_queue <= without.longest_queue + kSimulatedSlots,
            "%zu %zu", with.longest_queue, without.longest_queue);
}

// A target with a service time of 10 ms that has just reported.
BalancedTarget Reported(uint32_t percent, uint32_t running, uint32_t waiting) {
  BalancedTarget target;
  target.record.slots = kSimulatedSlots;
  target.latency_ns = 10e6;
  target.latency_at = kStart;
  target.load = {
      .running = running, .waiting = waiting, .slots = kSimulatedSlots};
  target.load_at = kStart;
  target.slowdown.OnReport(percent, 100, kStart);
  return target;
}

// Load pattern: a slow machine with a short queue against a fast one with a
// long queue. Guards against a cost that considers only one of the two.
Test(target_cost, a_short_queue_can_outweigh_a_slow_machine) {
  const CostContext context{.usual_latency_ns = 10e6};
  const BalancedTarget idle_slow = Reported(250, 0, 0);
  const BalancedTarget busy_fast = Reported(100, 4, 6);
  const BalancedTarget light_fast = Reported(100, 1, 0);
  cr_expect(CostOf(idle_slow, context, kStart) <
            CostOf(busy_fast, context, kStart));
  cr_expect(CostOf(light_fast, context, kStart) <
            CostOf(idle_slow, context, kStart));
}

// Guards against a hedge to a machine that is slow too, which costs capacity
// and doesn't shorten the wait.
Test(target_cost, a_hedge_avoids_a_machine_that_is_slow_now) {
  const CostContext first{.usual_latency_ns = 10e6};
  const CostContext hedge{.usual_latency_ns = 10e6, .is_extra_attempt = true};
  const BalancedTarget slow = Reported(250, 0, 0);
  const BalancedTarget busy = Reported(100, 4, 2);
  const auto is_slow_cheaper = [&](const CostContext& context, TimePoint at) {
    return CostOf(slow, context, at) < CostOf(busy, context, at);
  };
  const TimePoint soon = kStart + milliseconds(20);
  cr_expect(!is_slow_cheaper(hedge, soon));
  cr_expect(CostOf(slow, hedge, soon) > 1.9 * CostOf(slow, first, soon));
  // Once the report is old, nothing is held against the machine.
  const TimePoint later = kStart + seconds(1);
  cr_expect(CostOf(slow, hedge, later) == CostOf(slow, first, later));
}

// Load pattern: a report from before a restart. Guards against avoiding a
// target for what the process before it has reported.
Test(target_cost, a_report_from_before_a_restart_is_forgotten) {
  LoadBalancer balancer({.self = HostId("e"), .zone = ZoneId("a")});
  balancer.UpdateTarget(SimulatedRecord(0), kStart);
  balancer.UpdateTarget(SimulatedRecord(1), kStart);
  for (const size_t i : {1, 0}) {
    balancer.OnSent(SimulatedRecord(i).id, kStart);
    balancer.OnAnswered(SimulatedRecord(i).id, milliseconds(10),
                        TargetLoad{.service_time_percent = i == 0 ? 250U : 100},
                        kStart);
  }
  const auto sent_to_first = [&] {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
      count +=
          balancer.Pick(kSimulatedService, {}, kStart) == SimulatedRecord(0).id
              ? 1
              : 0;
    }
    return count;
  };
  cr_expect(sent_to_first() == 0);
  TargetRecord restarted = SimulatedRecord(0);
  restarted.started_ms += 1;
  restarted.sequence += 1;
  balancer.UpdateTarget(restarted, kStart);
  cr_expect(sent_to_first() > 0);
}

}  // namespace
}  // namespace knapweedroad
