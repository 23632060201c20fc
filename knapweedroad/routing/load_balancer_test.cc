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

LoadBalancer MakeBalancer(size_t host, size_t hosts, size_t connections) {
  LoadBalancer balancer({.self = Hosts(hosts)[host], .zone = ZoneId("a")});
  RoutingConfig config{
      .version = 1,
      .services = {{.name = kService, .max_connections = connections}}};
  balancer.SetRouting(std::make_shared<RouteTable>(config));
  // Long ago: the list is settled.
  balancer.SetEntryHosts(Hosts(hosts), kStart - seconds(60));
  return balancer;
}

void SendAndAnswer(LoadBalancer& balancer,
                   const TargetId& id,
                   Duration took,
                   TimePoint at) {
  balancer.OnSent(id, at);
  balancer.OnAnswered(id, took, std::nullopt, at + took);
}

// A target is five times as slow as the others. Sent its even share it would
// hold up every third answer of its shard.
Test(load_balancer, a_slow_target_gets_little_and_is_tried_again_later) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2", "t3"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
  }
  TimePoint now = kStart;
  std::map<std::string, int> got;
  for (int i = 0; i < 300; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    ++got[id.str()];
    SendAndAnswer(balancer, id, milliseconds(id.str() == "t1" ? 50 : 10), now);
    now += milliseconds(60);
  }
  cr_expect(got["t1"] < 30, "%d", got["t1"]);
  cr_expect(got["t1"] >= 2, "%d", got["t1"]);
}

Test(load_balancer, its_own_zone_goes_first_while_it_is_as_fast) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("far", "b"), kStart);
  balancer.UpdateTarget(Record("near", "a"), kStart);
  int near = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    near += id.str() == "near" ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(30);
  }
  cr_expect(near > 90, "%d", near);
}

// A target pauses: what it was sent stays unanswered. New requests must not
// queue up behind it.
Test(load_balancer, a_stalled_target_is_passed_over) {
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

Test(load_balancer, a_leaving_or_evacuated_target_gets_nothing) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  balancer.SetEvacuatedZones({ZoneId("a")});
  cr_expect(!balancer.Pick(kService, {}, kStart));
  balancer.SetEvacuatedZones({});
  cr_expect(balancer.Pick(kService, {}, kStart).has_value());
  TargetRecord leaving = Record("t", "a");
  leaving.sequence = 2;
  leaving.phase = TargetPhase::kLeaving;
  balancer.UpdateTarget(leaving, kStart);
  cr_expect(!balancer.Pick(kService, {}, kStart));
  cr_expect(!balancer.IsServed(kService, kStart));
}

// A zone's targets come back cold and bear five requests a second together.
// Nine hosts that are polite each for themselves still send ninety.
Test(load_balancer, hosts_together_keep_to_what_a_cold_target_bears) {
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

// 83 hosts stand before targets that take 74 connections each: one connection
// of every host is too many, and the target resets what is over its cap.
Test(load_balancer, many_hosts_share_out_the_connections_of_a_service) {
  constexpr size_t kHosts = 83;
  std::map<std::string, int> users;
  for (size_t i = 0; i < kHosts; ++i) {
    LoadBalancer balancer = MakeBalancer(i, kHosts, 74);
    balancer.UpdateTarget(Record("t1", "a"), kStart);
    balancer.UpdateTarget(Record("t2", "b"), kStart);
    balancer.UpdateTarget(Record("t3", "c"), kStart);
    std::map<std::string, int> got;
    TimePoint now = kStart;
    for (int n = 0; n < 50; ++n) {
      const TargetId id = *balancer.Pick(kService, {}, now);
      ++got[id.str()];
      SendAndAnswer(balancer, id, milliseconds(10), now);
      now += milliseconds(50);
    }
    cr_expect(got.size() <= 2);
    for (const auto& [id, count] : got) {
      ++users[id];
    }
  }
  cr_expect(users["t2"] <= 74 && users["t3"] <= 74, "%d %d", users["t2"],
            users["t3"]);
}

// A target crashes and is back within a second under its old id, cold. Hosts
// that go on in good faith crash it again: they ask for its health first.
Test(load_balancer, an_unreachable_target_is_asked_before_it_is_used_again) {
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

// A target goes dark: no reset, no refusal, requests just stay unanswered.
Test(load_balancer, a_silent_target_is_taken_out_until_it_answers_again) {
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

// A target says that it is unhealthy though it serves well. Suspected once for
// another reason it would never be used again.
Test(load_balancer, a_target_with_false_health_answers_is_tried_by_requests) {
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

// A dark target's attempts are given up one after the other. Each time it
// looks free, and would get the next request of every caller.
Test(load_balancer, a_target_whose_attempts_are_given_up_is_passed_over) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("dark", "a"), kStart);
  balancer.UpdateTarget(Record("well", "b"), kStart);
  for (int i = 0; i < 20; ++i) {
    SendAndAnswer(balancer, TargetId("dark"), milliseconds(10), kStart);
    SendAndAnswer(balancer, TargetId("well"), milliseconds(10), kStart);
  }
  balancer.OnSent(TargetId("dark"), kStart);
  balancer.OnAbandoned(TargetId("dark"), milliseconds(400),
                       kStart + milliseconds(400));
  int dark = 0;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = kStart + milliseconds(400 + i * 20);
    dark += balancer.Pick(kService, {}, now) == TargetId("dark") ? 1 : 0;
  }
  cr_expect(dark == 0);
}

// All hosts lose their power. Each one that is back believes to be alone for a
// second; nine of them then hold nine times a target's connections, and all
// beyond its cap are reset, with the requests on them.
Test(load_balancer, hosts_that_have_just_started_hold_few_connections) {
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

// A target at its cap of connections resets health questions like all others.
// Suspected for that, it would lose its work to targets that are as full.
Test(load_balancer, a_health_question_that_was_cut_off_proves_nothing) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("t", "a"), kStart);
  balancer.OnSent(TargetId("t"), kStart);
  balancer.OnBroken(TargetId("t"), kStart);
  cr_assert(balancer.DueProbes(kStart).size() == 1);
  balancer.OnProbeResult(TargetId("t"), {.is_inconclusive = true}, kStart);
  cr_expect(balancer.IsServed(kService, kStart));
}

Test(load_balancer, another_target_at_the_address_ends_the_record) {
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

// A target refuses half of its requests. This host has asked it only twice, but
// all hosts of the zone together know, and it must not find out for itself.
Test(load_balancer, a_target_that_others_see_fail_is_avoided) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  const HostId control("c1");
  balancer.UpdateOutliers(
      control, std::vector{TargetOutlier{TargetId("t1"), 4, 1}}, kStart);
  TimePoint now = kStart + seconds(1);
  int bad = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    bad += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(bad < 10, "%d", bad);
  // Well again by the word of the same control host.
  balancer.UpdateOutliers(control, std::vector<TargetOutlier>(), now);
  int again = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    again += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(again > 50, "%d", again);
}

// The control host that listed a target has gone. What it said must not be
// believed for ever.
Test(load_balancer, a_list_whose_control_host_is_gone_is_forgotten) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  balancer.UpdateOutliers(
      HostId("c1"), std::vector{TargetOutlier{TargetId("t1"), 8, 1}}, kStart);
  TimePoint now = kStart + seconds(6);
  balancer.UpdateOutliers(HostId("c2"), std::vector<TargetOutlier>(), now);
  int got = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    got += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(got > 50, "%d", got);
}

// A zone's only control host dies after it has listed a target. No other list
// comes that would replace its own, and the target would be avoided for as long
// as the control host is away.
Test(load_balancer, a_list_is_forgotten_without_any_other_list) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  balancer.UpdateOutliers(
      HostId("c1"), std::vector{TargetOutlier{TargetId("t1"), 8, 1}}, kStart);
  TimePoint now = kStart + seconds(6);
  balancer.ExpireOutliers(now);
  int got = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    got += id == TargetId("t1") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(got > 50, "%d", got);
}

// All hosts have lost their power; targets still hold the connections of
// before and turn new ones away. A host keeps to the target that it has a
// connection to: with a second one, another host would be left without any.
Test(load_balancer, while_connections_are_scarce_it_keeps_to_those_it_has) {
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
  // It is not ejected: where the first is tried already, it is next.
  const std::vector<TargetId> tried{TargetId("t1")};
  cr_expect(*balancer.Pick(kService, tried, kStart) == TargetId("t2"));
}

// Two of a shard's three targets refuse half of their requests, and answer the
// others fast. The sound one is in another zone and has the rest of the work;
// by latency alone half of all requests go to those that refuse, retries run
// out, and callers get no answer.
Test(load_balancer,
     a_sound_target_with_more_to_do_goes_before_one_that_refuses) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    balancer.UpdateTarget(Record(id, "a"), kStart);
  }
  balancer.UpdateTarget(Record("sound", "b"), kStart);
  balancer.UpdateOutliers(HostId("c1"),
                          std::vector{TargetOutlier{TargetId("t1"), 4, 1},
                                      TargetOutlier{TargetId("t2"), 4, 1}},
                          kStart);
  TimePoint now = kStart;
  int sound = 0;
  for (int i = 0; i < 300; ++i) {
    const TargetId id = *balancer.Pick(kService, {}, now);
    sound += id == TargetId("sound") ? 1 : 0;
    SendAndAnswer(balancer, id, milliseconds(id == TargetId("sound") ? 90 : 8),
                  now);
    now += milliseconds(10);
  }
  cr_expect(sound > 285, "%d", sound);
}

// All hosts have lost their power; targets still hold the connections of before
// and have few places. Hosts that keep those to themselves leave the others'
// callers without an answer for ten seconds.
Test(load_balancer,
     a_host_that_has_just_started_gives_scarce_connections_back) {
  LoadBalancer balancer({.self = HostId("e"), .started = kStart});
  balancer.UpdateTarget(Record("t1", "a"), kStart);
  cr_expect_not(balancer.ShouldCloseConnections(kStart));
  balancer.OnSent(TargetId("t1"), kStart);
  balancer.OnConnectionRejected(TargetId("t1"), kStart + seconds(1));
  cr_expect(balancer.ShouldCloseConnections(kStart + seconds(2)));
  // Nothing was turned away lately: places are there again.
  cr_expect_not(balancer.ShouldCloseConnections(kStart + seconds(6)));
}

// Many hosts under high load: now and then a target turns one away. Its other
// connections are kept, as each new one would cost its target time.
Test(load_balancer, a_host_that_runs_for_long_keeps_its_connections) {
  LoadBalancer balancer({.self = HostId("e"), .started = kStart});
  balancer.UpdateTarget(Record("t1", "a"), kStart);
  const TimePoint later = kStart + seconds(30);
  balancer.OnSent(TargetId("t1"), later);
  balancer.OnConnectionRejected(TargetId("t1"), later);
  cr_expect_not(balancer.ShouldCloseConnections(later));
}

// Answers the pattern of shards without a target in the own zone: parts that
// come from one other zone are merged there, and cost few bytes.
Test(load_balancer, parts_from_afar_come_from_the_preferred_zone) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("b", "b"), kStart);
  balancer.UpdateTarget(Record("c", "c"), kStart);
  balancer.UpdateTarget(Record("d", "d"), kStart);
  for (const char* id : {"b", "c", "d"}) {
    SendAndAnswer(balancer, TargetId(id), milliseconds(10), kStart);
  }
  for (const char* zone : {"b", "c", "d"}) {
    const std::vector<ZoneId> near = {ZoneId(zone)};
    for (int i = 0; i < 20; ++i) {
      cr_expect(balancer.Pick(kService, {}, kStart, near) == TargetId(zone));
    }
  }
}

Test(load_balancer, its_own_zone_goes_before_the_preferred_one) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(Record("a", "a"), kStart);
  balancer.UpdateTarget(Record("b", "b"), kStart);
  const std::vector<ZoneId> near = {ZoneId("b")};
  cr_expect(balancer.Pick(kService, {}, kStart, near) == TargetId("a"));
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

// How many of 1000 first attempts go to targets of the version.
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

// Guards against callers who are served by a version that nobody has ordered:
// its targets announce themselves before the order comes, in any order of news.
Test(load_balancer, a_version_that_nobody_ordered_gets_nothing) {
  for (const bool new_first : {false, true}) {
    LoadBalancer balancer = MakeBalancer(0, 1, 100);
    if (new_first) {
      balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000), kStart);
    }
    balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000), kStart);
    balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000), kStart);
    cr_expect(CountFirstAttempts(balancer, "v2") == 0);
    cr_expect(CountFirstAttempts(balancer, "v1") == 1000);
  }
}

// Guards against the same when all targets of the version in use have started
// anew meanwhile, so that the others are the older ones.
Test(load_balancer, the_version_in_use_stays_while_its_targets_restart) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 1000),
                        kStart - seconds(2));
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000),
                        kStart - seconds(1));
  balancer.UpdateTarget(RecordOfVersion("old", "v1", 3000), kStart);
  cr_expect(CountFirstAttempts(balancer, "v2") == 0);
}

// Guards against a service without targets after an upgrade that was made
// without any order: once the old ones have left, the new ones serve.
Test(load_balancer, another_version_serves_once_the_first_has_left) {
  LoadBalancer balancer = MakeBalancer(0, 1, 100);
  TargetRecord old = RecordOfVersion("old", "v1", 1000);
  balancer.UpdateTarget(old, kStart - seconds(2));
  balancer.UpdateTarget(RecordOfVersion("new", "v2", 2000),
                        kStart - seconds(1));
  old.phase = TargetPhase::kLeaving;
  old.sequence = 2;
  balancer.UpdateTarget(old, kStart);
  const int got = CountFirstAttempts(balancer, "v2");
  cr_expect(got == 1000, "%d", got);
}

Test(load_balancer, a_version_forgotten_for_its_silence_gives_way) {
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
  const int got = CountFirstAttempts(balancer, "v2");
  cr_expect(got > 60 && got < 140, "%d", got);
  for (int i = 0; i < 100; ++i) {
    cr_expect(balancer.Pick(kService, std::vector{TargetId("old")}, kStart) ==
              TargetId("old2"));
  }
}

// Guards against a candidate whose bad answers make it look expensive, so that
// too few more of them are seen to judge it.
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
  int got = 0;
  for (int i = 0; i < 200; ++i) {
    got += balancer.Pick(kService, {}, kStart) == TargetId("new") ? 1 : 0;
  }
  cr_expect(got > 70, "%d", got);
}

Test(load_balancer, a_split_that_allows_one_version_alone_is_kept_to) {
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

// Guards against a crash of a candidate target that has just started: its
// requests come from all hosts, and while it is cold it bears few.
Test(load_balancer, a_cold_candidate_gets_nothing) {
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
