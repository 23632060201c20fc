#include "knapweedroad/routing/load_balancer.h"

#include <criterion/criterion.h>

#include <map>
#include <unordered_map>
#include <vector>

#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
const ServiceId kService("s");

std::vector<HostId> Hosts(size_t count) {
  std::vector<HostId> hosts;
  for (size_t i = 0; i < count; ++i) {
    hosts.emplace_back("entry-" + std::to_string(i));
  }
  return hosts;
}

TargetRecord Record(const char* id, const char* zone) {
  return {.id = TargetId(id),
          .service = kService,
          .zone = ZoneId(zone),
          .address = {"10.0.0.1", 80},
          .slots = 2,
          .started_ms = 1000,
          .sequence = 1};
}

LoadBalancer MakeBalancer(size_t index,
                          size_t host_count,
                          size_t max_connections) {
  LoadBalancer balancer(
      {.self = Hosts(host_count)[index], .zone = ZoneId("a")});
  RoutingConfig config{
      .version = 1,
      .services = {{.name = kService, .max_connections = max_connections}}};
  balancer.SetRouting(std::make_shared<RouteTable>(config));
  // Long enough ago that the list of hosts counts as stable.
  balancer.SetEntryHosts(Hosts(host_count), kStart - seconds(60));
  return balancer;
}

void SendAndAnswer(LoadBalancer& balancer,
                   const TargetId& id,
                   Duration latency,
                   TimePoint at) {
  balancer.OnSent(id, at);
  balancer.OnAnswered(id, latency, std::nullopt, at + latency);
}

// Guards against an equal division of requests: a target that is five times as
// slow as the two others would delay every third answer.
Test(load_balancer, a_slow_target_gets_few_requests_and_is_retried_later) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2", "t3"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
  }
  TimePoint now = kStart;
  std::map<std::string, int> counts;
  for (int i = 0; i < 300; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    ++counts[id.str()];
    SendAndAnswer(balancer, id, milliseconds(id.str() == "t1" ? 50 : 10), now);
    now += milliseconds(60);
  }
  cr_expect(counts["t1"] < 30, "%d", counts["t1"]);
  cr_expect(counts["t1"] >= 2, "%d", counts["t1"]);
}

Test(load_balancer, prefers_its_own_zone_at_equal_latency) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("far", "b"), kStart);
  balancer.UpdateTarget(Record("near", "a"), kStart);
  int near_count = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    near_count += id.str() == "near" ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(30);
  }
  cr_expect(near_count > 90, "%d", near_count);
}

// Guards against requests that queue at a target which pauses and leaves an
// attempt unanswered.
Test(load_balancer, a_stalled_target_is_not_picked) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("near", "a"), kStart);
  balancer.UpdateTarget(Record("far", "b"), kStart);
  for (int i = 0; i < 20; ++i) {
    SendAndAnswer(balancer, TargetId("near"), milliseconds(5), kStart);
    SendAndAnswer(balancer, TargetId("far"), milliseconds(5), kStart);
  }
  balancer.OnSent(TargetId("near"), kStart);
  cr_expect(balancer.Pick(kService, {}, kStart + milliseconds(60)) ==
            TargetId("far"));
}

Test(load_balancer, a_leaving_or_out_of_service_target_gets_no_requests) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  balancer.SetZonesOutOfService({ZoneId("a")});
  cr_expect(!balancer.Pick(kService, {}, kStart));
  balancer.SetZonesOutOfService({});
  cr_expect(balancer.Pick(kService, {}, kStart).has_value());
  TargetRecord leaving = Record("t", "a");
  leaving.sequence = 2;
  leaving.phase = TargetPhase::kLeaving;
  balancer.UpdateTarget(leaving, kStart);
  cr_expect(!balancer.Pick(kService, {}, kStart));
  cr_expect(!balancer.IsServed(kService, kStart));
}

// Guards against a rate limit for cold targets that each host applies on its
// own: nine hosts would then send ninety requests per second to a target that
// can serve five.
Test(load_balancer, hosts_together_keep_to_the_rate_limit_of_a_cold_target) {
  constexpr size_t kHosts = 9;
  std::vector<LoadBalancer> balancers;
  for (size_t i = 0; i < kHosts; ++i) {
    balancers.push_back(MakeBalancer(i, kHosts, 100));
    TargetRecord cold = Record("t", "a");
    cold.cold_left = seconds(30);
    balancers.back().UpdateTarget(cold, kStart);
  }
  std::vector<TimePoint> sent;
  for (Duration at{}; at < seconds(10); at += milliseconds(10)) {
    for (LoadBalancer& balancer : balancers) {
      if (const auto id = balancer.Pick(kService, {}, kStart + at)) {
        SendAndAnswer(balancer, *id, milliseconds(5), kStart + at);
        sent.push_back(kStart + at);
      }
    }
  }
  cr_expect(!sent.empty());
  for (size_t i = 0; i + 5 < sent.size(); ++i) {
    cr_assert(sent[i + 5] - sent[i] >= seconds(1));
  }
}

// Guards against too many connections: with 83 hosts and targets that accept 74
// connections each, one connection per host exceeds the limit, and the target
// resets the excess.
Test(load_balancer, many_hosts_share_the_connections_of_a_service) {
  constexpr size_t kHosts = 83;
  std::map<std::string, int> users;
  for (size_t i = 0; i < kHosts; ++i) {
    LoadBalancer balancer = MakeBalancer(i, kHosts, 74);
    balancer.UpdateTarget(Record("t1", "a"), kStart);
    balancer.UpdateTarget(Record("t2", "b"), kStart);
    balancer.UpdateTarget(Record("t3", "c"), kStart);
    std::map<std::string, int> counts;
    TimePoint now = kStart;
    for (int n = 0; n < 50; ++n) {
      const TargetId id = *balancer.Pick(kService, {}, now);
      ++counts[id.str()];
      SendAndAnswer(balancer, id, milliseconds(10), now);
      now += milliseconds(50);
    }
    cr_expect(counts.size() <= 2);
    for (const auto& [id, count] : counts) {
      ++users[id];
    }
  }
  cr_expect(users["t2"] <= 74 && users["t3"] <= 74, "%d %d", users["t2"],
            users["t3"]);
}

// Guards against a second crash of a target that crashed and restarted within a
// second under the same ID: it is cold, and requests at the usual rate would
// overload it.
Test(load_balancer, an_unreachable_target_is_probed_before_it_is_used_again) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  balancer.OnSent(TargetId("t"), kStart);
  balancer.OnUnreachable(TargetId("t"), kStart);
  cr_expect(!balancer.Pick(kService, {}, kStart + seconds(1)));
  const auto due = balancer.DueProbes(kStart + milliseconds(1));
  cr_assert(due.size() == 1);
  balancer.OnProbeResult(
      due[0].target,
      {.is_reachable = true, .is_healthy = true, .cold_left = seconds(2)},
      kStart + milliseconds(5));
  cr_expect(!balancer.IsServed(kService, kStart + seconds(1)));
  cr_expect(balancer.IsServed(kService, kStart + seconds(3)));
}

// Guards against the use of a target that leaves requests unanswered without
// resetting or refusing connections.
Test(load_balancer, an_unresponsive_target_is_ejected_until_a_probe_succeeds) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  SendAndAnswer(balancer, TargetId("t"), milliseconds(10), kStart);
  balancer.OnSent(TargetId("t"), kStart + seconds(1));
  balancer.EjectUnresponsive(kStart + milliseconds(1400));
  cr_expect(balancer.IsServed(kService, kStart + milliseconds(1400)));
  balancer.EjectUnresponsive(kStart + milliseconds(1500));
  cr_expect(!balancer.IsServed(kService, kStart + milliseconds(1500)));
  cr_assert(balancer.DueProbes(kStart + milliseconds(1500)).size() == 1);
  cr_expect(balancer.DueProbes(kStart + milliseconds(1600)).empty());
  balancer.OnProbeResult(TargetId("t"),
                         {.is_reachable = true, .is_healthy = true},
                         kStart + milliseconds(1600));
  cr_expect(balancer.IsServed(kService, kStart + milliseconds(1600)));
}

// Guards against the permanent ejection of a target that answers requests but
// wrongly reports that it is unhealthy.
Test(load_balancer, a_target_with_false_health_answers_gets_trial_requests) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  balancer.OnSent(TargetId("t"), kStart);
  balancer.OnUnreachable(TargetId("t"), kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 3; ++i) {
    now += seconds(2);
    for (const DueProbe& probe : balancer.DueProbes(now)) {
      balancer.OnProbeResult(probe.target, {.is_reachable = true}, now);
    }
  }
  const auto trial = balancer.Pick(kService, {}, now);
  cr_assert(trial.has_value());
  cr_expect(!balancer.Pick(kService, {}, now + milliseconds(10)));
  SendAndAnswer(balancer, *trial, milliseconds(5), now);
  cr_expect(balancer.IsServed(kService, now + milliseconds(10)));
}

// Guards against an unresponsive target that gets each next request: when its
// attempts are abandoned, none are in flight and it appears idle.
Test(load_balancer, a_target_whose_attempts_are_abandoned_is_not_picked) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("unresponsive", "a"), kStart);
  balancer.UpdateTarget(Record("healthy", "b"), kStart);
  for (int i = 0; i < 20; ++i) {
    SendAndAnswer(balancer, TargetId("unresponsive"), milliseconds(10), kStart);
    SendAndAnswer(balancer, TargetId("healthy"), milliseconds(10), kStart);
  }
  balancer.OnSent(TargetId("unresponsive"), kStart);
  balancer.OnAbandoned(TargetId("unresponsive"), milliseconds(400),
                       kStart + milliseconds(400));
  int unresponsive_count = 0;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = kStart + milliseconds(400 + i * 20);
    unresponsive_count +=
        balancer.Pick(kService, {}, now) == TargetId("unresponsive") ? 1 : 0;
  }
  cr_expect(unresponsive_count == 0);
}

// Guards against too many connections after a power loss of all hosts. For a
// second after its start, each host has no other host on its list. Nine such
// hosts would open nine times the connections that a target accepts, and those
// over the limit would be reset together with their requests.
Test(load_balancer, hosts_that_have_just_started_use_few_connections) {
  LoadBalancer balancer({.self = HostId("entry-0"), .zone = ZoneId("a")});
  RoutingConfig config{.version = 1,
                       .services = {{.name = kService, .max_connections = 26}}};
  balancer.SetRouting(std::make_shared<RouteTable>(config));
  balancer.SetEntryHosts(Hosts(1), kStart);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  int sent = 0;
  while (balancer.Pick(kService, {}, kStart)) {
    balancer.OnSent(TargetId("t"), kStart);
    ++sent;
  }
  cr_expect(sent == 2, "%d", sent);
  balancer.SetEntryHosts(Hosts(9), kStart + milliseconds(400));
  balancer.SetEntryHosts(Hosts(1), kStart + seconds(4));
  cr_expect(balancer.entry_host_count() == 9);
}

// Guards against the ejection of a target at its connection limit, which resets
// health probes like all other connections. Its requests would move to targets
// that are equally full.
Test(load_balancer, a_reset_health_probe_does_not_eject_its_target) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  balancer.OnSent(TargetId("t"), kStart);
  balancer.OnBroken(TargetId("t"), kStart);
  cr_assert(balancer.DueProbes(kStart).size() == 1);
  balancer.OnProbeResult(TargetId("t"), {.is_inconclusive = true}, kStart);
  cr_expect(balancer.IsServed(kService, kStart));
}

// Guards against requests to a target whose queue is known only from health
// probes, as requests go elsewhere.
// Guards against targets being judged by their health answers where they don't
// report the state of their machine.
Test(load_balancer, a_health_answer_without_service_time_changes_no_load) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  SendAndAnswer(balancer, TargetId("t"), milliseconds(10), kStart);
  balancer.UpdateTarget(Record("u", "a"), kStart);
  SendAndAnswer(balancer, TargetId("u"), milliseconds(12), kStart);
  const TimePoint now = kStart + milliseconds(20);
  const auto before = balancer.Pick(kService, {}, now);
  cr_assert(before.has_value());
  balancer.OnProbeResult(
      *before,
      {.is_reachable = true,
       .is_healthy = true,
       .load = TargetLoad{.running = 2, .waiting = 9, .slots = 2}},
      now);
  cr_expect(balancer.Pick(kService, {}, now) == before);
}

Test(load_balancer, a_health_answer_reports_the_load) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"busy", "idle"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    for (int i = 0; i < 20; ++i) {
      SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
    }
  }
  const TimePoint now = kStart + milliseconds(20);
  balancer.OnProbeResult(TargetId("busy"),
                         {.is_reachable = true,
                          .is_healthy = true,
                          .load = TargetLoad{.running = 2,
                                             .waiting = 9,
                                             .slots = 2,
                                             .service_time_percent = 100}},
                         now);
  for (int i = 0; i < 20; ++i) {
    cr_expect(balancer.Pick(kService, {}, now) == TargetId("idle"));
  }
}

Test(load_balancer, a_target_is_unused_once_another_answers_at_its_address) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  balancer.OnSent(TargetId("t"), kStart);
  balancer.OnOtherTargetAnswered(TargetId("t"), kStart);
  cr_expect(!balancer.Pick(kService, {}, kStart));
  TargetRecord next = Record("t", "a");
  next.started_ms = 2000;
  balancer.UpdateTarget(next, kStart);
  cr_expect(balancer.Pick(kService, {}, kStart).has_value());
}

// Guards against each host having to detect by its own failures that a target
// refuses half of its requests, although the zone's hosts together have enough
// outcomes to show it.
Test(load_balancer, a_target_on_an_outlier_list_is_avoided) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  const HostId control("c1");
  balancer.UpdateOutliers(
      control, std::vector{TargetOutlier{TargetId("t1"), 4, 1}}, kStart);
  TimePoint now = kStart + seconds(1);
  int listed_count = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    listed_count += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(listed_count < 10, "%d", listed_count);
  // The same control host no longer lists the target.
  balancer.UpdateOutliers(control, std::vector<TargetOutlier>(), now);
  int unlisted_count = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    unlisted_count += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(unlisted_count > 50, "%d", unlisted_count);
}

// Guards against an outlier list that stays in use forever after its control
// host has failed.
Test(load_balancer, the_outlier_list_of_a_failed_control_host_expires) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  balancer.UpdateOutliers(
      HostId("c1"), std::vector{TargetOutlier{TargetId("t1"), 8, 1}}, kStart);
  TimePoint now = kStart + seconds(6);
  balancer.UpdateOutliers(HostId("c2"), std::vector<TargetOutlier>(), now);
  int count = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    count += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(count > 50, "%d", count);
}

// Guards against an outlier list that stays in use because the only control
// host of the zone has failed, and no reply of another one triggers the expiry.
Test(load_balancer, an_outlier_list_expires_without_further_replies) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  balancer.UpdateOutliers(
      HostId("c1"), std::vector{TargetOutlier{TargetId("t1"), 8, 1}}, kStart);
  TimePoint now = kStart + seconds(6);
  balancer.ExpireOutliers(now);
  int count = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    count += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(count > 50, "%d", count);
}

// Guards against hosts left without any connection after a power loss of all
// hosts. Targets still hold the previous connections and reject new ones, so a
// host must not open a second one.
Test(load_balancer, prefers_connected_targets_while_connections_are_scarce) {
  bool is_first = true;
  LoadBalancer balancer(
      {.self = Hosts(1)[0],
       .zone = ZoneId("a"),
       .has_idle_connection = [&is_first](const TargetId& id) {
         return id == TargetId(is_first ? "t1" : "t2");
       }});
  RoutingConfig config{
      .version = 1, .services = {{.name = kService, .max_connections = 100}}};
  balancer.SetRouting(std::make_shared<RouteTable>(config));
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  balancer.OnSent(TargetId("t2"), kStart);
  balancer.OnConnectionRejected(TargetId("t2"), kStart);
  for (int i = 0; i < 50; ++i) {
    cr_assert(*balancer.Pick(kService, {}, kStart) == TargetId("t1"));
  }
  // The other target is not ejected, and is picked once the first was tried.
  const std::vector<TargetId> tried{TargetId("t1")};
  cr_expect(*balancer.Pick(kService, tried, kStart) == TargetId("t2"));
}

// Guards against a choice by latency alone. Two of three targets refuse half of
// their requests and answer the others fast. The healthy one is in another zone
// and loaded. Half of all requests would go to the targets that refuse, the
// retry budget would be used up, and callers would get no answer.
Test(load_balancer,
     a_loaded_healthy_target_is_preferred_to_targets_that_refuse) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
  }
  balancer.UpdateTarget(Record("healthy", "b"), kStart);
  balancer.UpdateOutliers(HostId("c1"),
                          std::vector{TargetOutlier{TargetId("t1"), 4, 1},
                                      TargetOutlier{TargetId("t2"), 4, 1}},
                          kStart);
  TimePoint now = kStart;
  int healthy_count = 0;
  for (int i = 0; i < 300; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    healthy_count += id == TargetId("healthy") ? 1 : 0;
    SendAndAnswer(balancer, id,
                  milliseconds(id == TargetId("healthy") ? 90 : 8), now);
    now += milliseconds(10);
  }
  cr_expect(healthy_count > 285, "%d", healthy_count);
}

// Guards against callers without an answer for ten seconds after a power loss
// of all hosts. Targets still hold the previous connections and accept few new
// ones. If some hosts kept those, other hosts could not connect.
Test(load_balancer, a_host_that_has_just_started_closes_scarce_connections) {
  LoadBalancer balancer({.self = HostId("e"), .started = kStart});
  balancer.UpdateTarget(Record("t1", "a"), kStart);
  cr_expect_not(balancer.ShouldCloseConnections(kStart));
  balancer.OnSent(TargetId("t1"), kStart);
  balancer.OnConnectionRejected(TargetId("t1"), kStart + seconds(1));
  cr_expect(balancer.ShouldCloseConnections(kStart + seconds(2)));
  // No connection was rejected recently.
  cr_expect_not(balancer.ShouldCloseConnections(kStart + seconds(6)));
}

// Guards against needless reconnections under high load, when targets
// occasionally reject a connection. Each new connection costs the target time.
Test(load_balancer, a_host_that_has_run_for_long_keeps_its_connections) {
  LoadBalancer balancer({.self = HostId("e"), .started = kStart});
  balancer.UpdateTarget(Record("t1", "a"), kStart);
  const TimePoint later = kStart + seconds(30);
  balancer.OnSent(TargetId("t1"), later);
  balancer.OnConnectionRejected(TargetId("t1"), later);
  cr_expect_not(balancer.ShouldCloseConnections(later));
}

// Guards against high traffic between zones for shards without a target in this
// zone. Partial answers from one other zone are merged there.
Test(load_balancer, prefers_the_preferred_zone_among_other_zones) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("b", "b"), kStart);
  balancer.UpdateTarget(Record("c", "c"), kStart);
  balancer.UpdateTarget(Record("d", "d"), kStart);
  for (const char* id : {"b", "c", "d"}) {
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  for (const char* zone : {"b", "c", "d"}) {
    const std::vector<ZoneId> preferred = {ZoneId(zone)};
    for (int i = 0; i < 20; ++i) {
      cr_expect(balancer.Pick(kService, {}, kStart, {.zones = preferred}) ==
                TargetId(zone));
    }
  }
}

Test(load_balancer, prefers_its_own_zone_to_the_preferred_zone) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("a", "a"), kStart);
  balancer.UpdateTarget(Record("b", "b"), kStart);
  const std::vector<ZoneId> preferred = {ZoneId("b")};
  cr_expect(balancer.Pick(kService, {}, kStart, {.zones = preferred}) ==
            TargetId("a"));
}

// Guards against periodic work over all targets of a large fleet on hosts that
// send to few of them: it must grow with the targets in use only.
Test(load_balancer, periodic_work_does_not_grow_with_the_number_of_targets) {
  for (const size_t count : {100, 10'000}) {
    LoadBalancer balancer = MakeBalancer(0, 1, 100);
    for (size_t i = 0; i < count; ++i) {
      balancer.UpdateTarget(Record(("t" + std::to_string(i)).c_str(), "a"),
                            kStart);
    }
    cr_expect(balancer.active_target_count() == 0);
    for (const char* id : {"t1", "t2", "t3"}) {
      balancer.OnSent(TargetId(id), kStart);
    }
    balancer.OnUnreachable(TargetId("t1"), kStart);
    balancer.OnAnswered(TargetId("t2"), milliseconds(5), std::nullopt, kStart);
    balancer.EjectUnresponsive(kStart);
    // The ejected target, and the one with an attempt in flight.
    cr_expect(balancer.active_target_count() == 2);
    cr_expect(balancer.DueProbes(kStart).size() == 1);
    balancer.EjectUnresponsive(kStart + seconds(2));
    cr_expect(balancer.Pick(kService, {}, kStart + seconds(2)).has_value());
    balancer.OnProbeResult(TargetId("t1"),
                           {.is_reachable = true, .is_healthy = true},
                           kStart + seconds(2));
    balancer.OnAnswered(TargetId("t3"), seconds(2), std::nullopt,
                        kStart + seconds(2));
    balancer.EjectUnresponsive(kStart + seconds(2));
    cr_expect(balancer.active_target_count() == 0);
  }
}

// Guards against a silent target that stays forever because periodic work no
// longer looks at all targets.
Test(load_balancer, a_target_that_is_silent_for_long_is_removed) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  TargetRecord silent = Record("t", "a");
  silent.sequence = 2;
  silent.phase = TargetPhase::kSilent;
  balancer.UpdateTarget(silent, kStart);
  balancer.RemoveSilentTargets(kStart + seconds(59));
  cr_expect(balancer.Find(TargetId("t")) != nullptr);
  balancer.RemoveSilentTargets(kStart + seconds(61));
  cr_expect(balancer.Find(TargetId("t")) == nullptr);
  balancer.EjectUnresponsive(kStart + seconds(61));
}

TargetRecord RecordOfVersion(const char* id,
                             const char* version,
                             uint64_t started) {
  TargetRecord record = Record(id, "a");
  record.version = VersionId(version);
  record.started_ms = started;
  record.address.port = static_cast<uint16_t>(started);
  return record;
}

using Splits = std::unordered_map<ServiceId, VersionSplit>;

// Returns how many of 1000 first attempts go to targets of the version.
int CountFirstAttempts(LoadBalancer& balancer, const char* version) {
  int count = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(30);
    const auto id = balancer.Pick(kService, {}, now);
    if (!id) {
      continue;
    }
    count += balancer.Find(*id)->version == VersionId(version) ? 1 : 0;
    SendAndAnswer(balancer, *id, milliseconds(10), now);
  }
  return count;
}

// Guards against requests to a version without a roll-out: its targets announce
// themselves before the roll-out starts, and records arrive in any order.
Test(load_balancer, a_version_without_a_rollout_gets_no_requests) {
  for (const bool is_new_first : {false, true}) {
    LoadBalancer balancer = MakeBalancer(0, 1, 100);
    if (is_new_first) {
      balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000), kStart);
    }
    balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000), kStart);
    balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000), kStart);
    cr_expect(CountFirstAttempts(balancer, "v2") == 0);
    cr_expect(CountFirstAttempts(balancer, "v1") == 1000);
  }
}

// Guards against requests to a version without a roll-out after all targets of
// the version in use have restarted, so that the other targets are older.
Test(load_balancer, the_version_in_use_is_kept_while_its_targets_restart) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000),
                        kStart - seconds(2));
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000),
                        kStart - seconds(1));
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 3000), kStart);
  cr_expect(CountFirstAttempts(balancer, "v2") == 0);
}

// Guards against a service without usable targets after an upgrade without a
// roll-out: once the old targets have left, the new ones get the requests.
Test(load_balancer, another_version_is_used_once_the_first_has_left) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  TargetRecord old = RecordOfVersion("old", "v1", 1000);
  balancer.UpdateTarget(old, kStart - seconds(2));
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000),
                        kStart - seconds(1));
  old.phase = TargetPhase::kLeaving;
  old.sequence = 2;
  balancer.UpdateTarget(old, kStart);
  const int count = CountFirstAttempts(balancer, "v2");
  cr_expect(count == 1000, "%d", count);
}

Test(load_balancer, another_version_is_used_once_silent_targets_are_removed) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  TargetRecord old = RecordOfVersion("old", "v1", 1000);
  balancer.UpdateTarget(old, kStart);
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000),
                        kStart + seconds(1));
  old.phase = TargetPhase::kSilent;
  old.sequence = 2;
  balancer.UpdateTarget(old, kStart + seconds(2));
  balancer.RemoveSilentTargets(kStart + seconds(30));
  cr_expect(!balancer.Pick(kService, {}, kStart + seconds(30)).has_value());
  balancer.RemoveSilentTargets(kStart + seconds(90));
  cr_expect(balancer.Pick(kService, {}, kStart + seconds(90)) ==
            TargetId("new"));
}

Test(load_balancer, the_candidate_gets_its_share_of_first_attempts_only) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000), kStart);
  balancer.UpdateTarget(RecordOfVersion("old2", "v1", 1001), kStart);
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000), kStart);
  balancer.SetVersionSplits(Splits{{kService,
                                    {.stable = VersionId("v1"),
                                     .candidate = VersionId("v2"),
                                     .candidate_share = 0.1}}});
  const int count = CountFirstAttempts(balancer, "v2");
  cr_expect(count > 60 && count < 140, "%d", count);
  for (int i = 0; i < 100; ++i) {
    cr_expect(balancer.Pick(kService, std::vector{TargetId("old")}, kStart) ==
              TargetId("old2"));
  }
}

// Guards against a candidate whose failures raise its cost, so that it gets too
// few requests to be evaluated.
Test(load_balancer, a_candidate_that_fails_keeps_its_share) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000), kStart);
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000), kStart);
  for (int i = 0; i < 20; ++i) {
    balancer.OnSent(TargetId("new"), kStart);
    balancer.OnFailed(TargetId("new"), kStart);
  }
  balancer.SetVersionSplits(Splits{{kService,
                                    {.stable = VersionId("v1"),
                                     .candidate = VersionId("v2"),
                                     .candidate_share = 0.5}}});
  int count = 0;
  for (int i = 0; i < 200; ++i) {
    count += balancer.Pick(kService, {}, kStart) == TargetId("new") ? 1 : 0;
  }
  cr_expect(count > 70, "%d", count);
}

Test(load_balancer, a_split_that_allows_one_version_excludes_the_other) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000), kStart);
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000), kStart);
  VersionSplit split{.stable = VersionId("v1"),
                     .candidate = VersionId("v2"),
                     .candidate_share = 1,
                     .allows_stable = false};
  balancer.SetVersionSplits(Splits{{kService, split}});
  cr_expect(CountFirstAttempts(balancer, "v1") == 0);
  cr_expect(!balancer.Pick(kService, std::vector{TargetId("new")}, kStart));
  split.candidate_share = 0;
  split.allows_stable = true;
  balancer.SetVersionSplits(Splits{{kService, split}});
  cr_expect(CountFirstAttempts(balancer, "v2") == 0);
  cr_expect(!balancer.Pick(kService, std::vector{TargetId("old")}, kStart));
}

// Guards against overload of a candidate target that has just started: all
// hosts send requests to it, and while it is cold it can serve only a few.
Test(load_balancer, a_cold_candidate_gets_no_requests) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000), kStart);
  TargetRecord cold = RecordOfVersion("new", "v2", 2000);
  cold.cold_left = seconds(600);
  balancer.UpdateTarget(cold, kStart);
  balancer.SetVersionSplits(Splits{{kService,
                                    {.stable = VersionId("v1"),
                                     .candidate = VersionId("v2"),
                                     .candidate_share = 0.5}}});
  cr_expect(CountFirstAttempts(balancer, "v2") == 0);
}

}  // namespace
}  // namespace knapweedroad
