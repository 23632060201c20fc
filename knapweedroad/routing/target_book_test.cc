#include "knapweedroad/routing/target_book.h"

#include <criterion/criterion.h>

#include <map>

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

TargetBook MakeBook(size_t host, size_t hosts, size_t connections) {
  TargetBook book({.self = Hosts(hosts)[host], .zone = ZoneId("a")});
  RoutingConfig config{
      .version = 1,
      .services = {{.name = kService, .max_connections = connections}}};
  book.SetRouting(std::make_shared<RouteTable>(config));
  // Long ago: the list is settled.
  book.SetEntryHosts(Hosts(hosts), kStart - seconds(60));
  return book;
}

void Serve(TargetBook& book, const TargetId& id, Duration took, TimePoint at) {
  book.OnSent(id, at);
  book.OnAnswered(id, took, std::nullopt, at + took);
}

// A target is five times as slow as the others. Sent its even share it would
// hold up every third answer of its shard.
Test(target_book, a_slow_target_gets_little_and_is_tried_again_later) {
  TargetBook book = MakeBook(0, 1, 100);
  for (const char* id : {"t1", "t2", "t3"}) {
    book.Learn(Record(id, "a"), kStart);
  }
  TimePoint now = kStart;
  std::map<std::string, int> got;
  for (int i = 0; i < 300; ++i) {
    const TargetId id = *book.Pick(kService, {}, now);
    ++got[id.str()];
    Serve(book, id, milliseconds(id.str() == "t1" ? 50 : 10), now);
    now += milliseconds(60);
  }
  cr_expect(got["t1"] < 30, "%d", got["t1"]);
  cr_expect(got["t1"] >= 2, "%d", got["t1"]);
}

Test(target_book, its_own_zone_goes_first_while_it_is_as_fast) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("far", "b"), kStart);
  book.Learn(Record("near", "a"), kStart);
  int near = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    const TargetId id = *book.Pick(kService, {}, now);
    near += id.str() == "near" ? 1 : 0;
    Serve(book, id, milliseconds(10), now);
    now += milliseconds(30);
  }
  cr_expect(near > 90, "%d", near);
}

// A target pauses: what it was sent stays unanswered. New requests must not
// queue up behind it.
Test(target_book, a_stalled_target_is_passed_over) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("near", "a"), kStart);
  book.Learn(Record("far", "b"), kStart);
  for (int i = 0; i < 20; ++i) {
    Serve(book, TargetId("near"), milliseconds(5), kStart);
    Serve(book, TargetId("far"), milliseconds(5), kStart);
  }
  book.OnSent(TargetId("near"), kStart);
  cr_expect(book.Pick(kService, {}, kStart + milliseconds(60)) ==
            TargetId("far"));
}

Test(target_book, a_leaving_or_evacuated_target_gets_nothing) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("t", "a"), kStart);
  book.SetZonesOut({ZoneId("a")});
  cr_expect(!book.Pick(kService, {}, kStart));
  book.SetZonesOut({});
  cr_expect(book.Pick(kService, {}, kStart).has_value());
  TargetRecord leaving = Record("t", "a");
  leaving.sequence = 2;
  leaving.phase = TargetPhase::kLeaving;
  book.Learn(leaving, kStart);
  cr_expect(!book.Pick(kService, {}, kStart));
  cr_expect(!book.IsServed(kService, kStart));
}

// A zone's targets come back cold and bear five requests a second together.
// Nine hosts that are polite each for themselves still send ninety.
Test(target_book, hosts_together_keep_to_what_a_cold_target_bears) {
  constexpr size_t kHosts = 9;
  std::vector<TargetBook> books;
  for (size_t i = 0; i < kHosts; ++i) {
    books.push_back(MakeBook(i, kHosts, 100));
    TargetRecord cold = Record("t", "a");
    cold.cold_left = seconds(30);
    books.back().Learn(cold, kStart);
  }
  std::vector<TimePoint> sent;
  for (Duration at{}; at < seconds(10); at += milliseconds(10)) {
    for (TargetBook& book : books) {
      if (const auto id = book.Pick(kService, {}, kStart + at)) {
        Serve(book, *id, milliseconds(5), kStart + at);
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
Test(target_book, many_hosts_share_out_the_connections_of_a_service) {
  constexpr size_t kHosts = 83;
  std::map<std::string, int> users;
  for (size_t i = 0; i < kHosts; ++i) {
    TargetBook book = MakeBook(i, kHosts, 74);
    book.Learn(Record("t1", "a"), kStart);
    book.Learn(Record("t2", "b"), kStart);
    book.Learn(Record("t3", "c"), kStart);
    std::map<std::string, int> got;
    TimePoint now = kStart;
    for (int n = 0; n < 50; ++n) {
      const TargetId id = *book.Pick(kService, {}, now);
      ++got[id.str()];
      Serve(book, id, milliseconds(10), now);
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
Test(target_book, an_unreachable_target_is_asked_before_it_is_used_again) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("t", "a"), kStart);
  book.OnSent(TargetId("t"), kStart);
  book.OnUnreachable(TargetId("t"), kStart);
  cr_expect(!book.Pick(kService, {}, kStart + seconds(1)));
  const auto due = book.DueProbes(kStart + milliseconds(1));
  cr_assert(due.size() == 1);
  book.OnProbe(
      due[0].target,
      {.is_reachable = true, .is_healthy = true, .cold_left = seconds(2)},
      kStart + milliseconds(5));
  cr_expect(!book.IsServed(kService, kStart + seconds(1)));
  cr_expect(book.IsServed(kService, kStart + seconds(3)));
}

// A target goes dark: no reset, no refusal, requests just stay unanswered.
Test(target_book, a_silent_target_is_taken_out_until_it_answers_again) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("t", "a"), kStart);
  Serve(book, TargetId("t"), milliseconds(10), kStart);
  book.OnSent(TargetId("t"), kStart + seconds(1));
  book.SuspectSilent(kStart + milliseconds(1400));
  cr_expect(book.IsServed(kService, kStart + milliseconds(1400)));
  book.SuspectSilent(kStart + milliseconds(1500));
  cr_expect(!book.IsServed(kService, kStart + milliseconds(1500)));
  cr_assert(book.DueProbes(kStart + milliseconds(1500)).size() == 1);
  cr_expect(book.DueProbes(kStart + milliseconds(1600)).empty());
  book.OnProbe(TargetId("t"), {.is_reachable = true, .is_healthy = true},
               kStart + milliseconds(1600));
  cr_expect(book.IsServed(kService, kStart + milliseconds(1600)));
}

// A target says that it is unhealthy though it serves well. Suspected once for
// another reason it would never be used again.
Test(target_book, a_target_with_false_health_answers_is_tried_by_requests) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("t", "a"), kStart);
  book.OnSent(TargetId("t"), kStart);
  book.OnUnreachable(TargetId("t"), kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 3; ++i) {
    now += seconds(2);
    for (const DueProbe& probe : book.DueProbes(now)) {
      book.OnProbe(probe.target, {.is_reachable = true}, now);
    }
  }
  const auto trial = book.Pick(kService, {}, now);
  cr_assert(trial.has_value());
  cr_expect(!book.Pick(kService, {}, now + milliseconds(10)));
  Serve(book, *trial, milliseconds(5), now);
  cr_expect(book.IsServed(kService, now + milliseconds(10)));
}

// A dark target's attempts are given up one after the other. Each time it
// looks free, and would get the next request of every caller.
Test(target_book, a_target_whose_attempts_are_given_up_is_passed_over) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("dark", "a"), kStart);
  book.Learn(Record("well", "b"), kStart);
  for (int i = 0; i < 20; ++i) {
    Serve(book, TargetId("dark"), milliseconds(10), kStart);
    Serve(book, TargetId("well"), milliseconds(10), kStart);
  }
  book.OnSent(TargetId("dark"), kStart);
  book.OnAbandoned(TargetId("dark"), milliseconds(400),
                   kStart + milliseconds(400));
  int dark = 0;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = kStart + milliseconds(400 + i * 20);
    dark += book.Pick(kService, {}, now) == TargetId("dark") ? 1 : 0;
  }
  cr_expect(dark == 0);
}

// All hosts lose their power. Each one that is back believes to be alone for a
// second; nine of them then hold nine times a target's connections, and all
// beyond its cap are reset, with the requests on them.
Test(target_book, hosts_that_have_just_started_hold_few_connections) {
  TargetBook book({.self = HostId("entry-0"), .zone = ZoneId("a")});
  RoutingConfig config{.version = 1,
                       .services = {{.name = kService, .max_connections = 26}}};
  book.SetRouting(std::make_shared<RouteTable>(config));
  book.SetEntryHosts(Hosts(1), kStart);
  book.Learn(Record("t", "a"), kStart);
  int sent = 0;
  while (book.Pick(kService, {}, kStart)) {
    book.OnSent(TargetId("t"), kStart);
    ++sent;
  }
  cr_expect(sent == 2, "%d", sent);
  book.SetEntryHosts(Hosts(9), kStart + milliseconds(400));
  book.SetEntryHosts(Hosts(1), kStart + seconds(4));
  cr_expect(book.entry_hosts() == 9);
}

// A target at its cap of connections resets health questions like all others.
// Suspected for that, it would lose its work to targets that are as full.
Test(target_book, a_health_question_that_was_cut_off_proves_nothing) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("t", "a"), kStart);
  book.OnSent(TargetId("t"), kStart);
  book.OnBroken(TargetId("t"), kStart);
  cr_assert(book.DueProbes(kStart).size() == 1);
  book.OnProbe(TargetId("t"), {.is_unclear = true}, kStart);
  cr_expect(book.IsServed(kService, kStart));
}

Test(target_book, another_target_at_the_address_ends_the_record) {
  TargetBook book = MakeBook(0, 1, 100);
  book.Learn(Record("t", "a"), kStart);
  book.OnSent(TargetId("t"), kStart);
  book.OnMisdirected(TargetId("t"), kStart);
  cr_expect(!book.Pick(kService, {}, kStart));
  TargetRecord next = Record("t", "a");
  next.started_ms = 2000;
  book.Learn(next, kStart);
  cr_expect(book.Pick(kService, {}, kStart).has_value());
}

// A target refuses half of its requests. This host has asked it only twice, but
// all hosts of the zone together know, and it must not find out for itself.
Test(target_book, a_target_that_others_see_fail_is_avoided) {
  TargetBook book = MakeBook(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    book.Learn(Record(id, "a"), kStart);
    Serve(book, TargetId(id), milliseconds(10), kStart);
  }
  const HostId control("c1");
  book.LearnTroubles(control, std::vector{TargetTrouble{TargetId("t1"), 4, 1}},
                     kStart);
  TimePoint now = kStart + seconds(1);
  int bad = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *book.Pick(kService, {}, now);
    bad += id == TargetId("t1") ? 1 : 0;
    Serve(book, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(bad < 10, "%d", bad);
  // Well again by the word of the same control host.
  book.LearnTroubles(control, std::vector<TargetTrouble>(), now);
  int again = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *book.Pick(kService, {}, now);
    again += id == TargetId("t1") ? 1 : 0;
    Serve(book, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(again > 50, "%d", again);
}

// The control host that listed a target has gone. What it said must not be
// believed for ever.
Test(target_book, a_list_whose_control_host_is_gone_is_forgotten) {
  TargetBook book = MakeBook(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    book.Learn(Record(id, "a"), kStart);
    Serve(book, TargetId(id), milliseconds(10), kStart);
  }
  book.LearnTroubles(HostId("c1"),
                     std::vector{TargetTrouble{TargetId("t1"), 8, 1}}, kStart);
  TimePoint now = kStart + seconds(6);
  book.LearnTroubles(HostId("c2"), std::vector<TargetTrouble>(), now);
  int got = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *book.Pick(kService, {}, now);
    got += id == TargetId("t1") ? 1 : 0;
    Serve(book, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(got > 50, "%d", got);
}

// A zone's only control host dies after it has listed a target. No other list
// comes that would replace its own, and the target would be avoided for as long
// as the control host is away.
Test(target_book, a_list_is_forgotten_without_any_other_list) {
  TargetBook book = MakeBook(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    book.Learn(Record(id, "a"), kStart);
    Serve(book, TargetId(id), milliseconds(10), kStart);
  }
  book.LearnTroubles(HostId("c1"),
                     std::vector{TargetTrouble{TargetId("t1"), 8, 1}}, kStart);
  TimePoint now = kStart + seconds(6);
  book.ForgetOldTroubles(now);
  int got = 0;
  for (int i = 0; i < 200; ++i) {
    const TargetId id = *book.Pick(kService, {}, now);
    got += id == TargetId("t1") ? 1 : 0;
    Serve(book, id, milliseconds(10), now);
    now += milliseconds(10);
  }
  cr_expect(got > 50, "%d", got);
}

// All hosts have lost their power; targets still hold the connections of
// before and turn new ones away. A host keeps to the target that it has a
// connection to: with a second one, another host would be left without any.
Test(target_book, while_connections_are_scarce_it_keeps_to_those_it_has) {
  bool is_first = true;
  TargetBook book({.self = Hosts(1)[0],
                   .zone = ZoneId("a"),
                   .is_connected = [&is_first](const TargetId& id) {
                     return id == TargetId(is_first ? "t1" : "t2");
                   }});
  RoutingConfig config{
      .version = 1, .services = {{.name = kService, .max_connections = 100}}};
  book.SetRouting(std::make_shared<RouteTable>(config));
  for (const char* id : {"t1", "t2"}) {
    book.Learn(Record(id, "a"), kStart);
    Serve(book, TargetId(id), milliseconds(10), kStart);
  }
  book.OnSent(TargetId("t2"), kStart);
  book.OnTurnedAway(TargetId("t2"), kStart);
  for (int i = 0; i < 50; ++i) {
    cr_assert(*book.Pick(kService, {}, kStart) == TargetId("t1"));
  }
  // It is no suspect: where the first is tried already, it is next.
  const std::vector<TargetId> tried{TargetId("t1")};
  cr_expect(*book.Pick(kService, tried, kStart) == TargetId("t2"));
}

// Two of a shard's three targets refuse half of their requests, and answer the
// others fast. The sound one is in another zone and has the rest of the work;
// by latency alone half of all requests go to those that refuse, retries run
// out, and callers get no answer.
Test(target_book, a_sound_target_with_more_to_do_goes_before_one_that_refuses) {
  TargetBook book = MakeBook(0, 1, 100);
  for (const char* id : {"t1", "t2"}) {
    book.Learn(Record(id, "a"), kStart);
  }
  book.Learn(Record("sound", "b"), kStart);
  book.LearnTroubles(HostId("c1"),
                     std::vector{TargetTrouble{TargetId("t1"), 4, 1},
                                 TargetTrouble{TargetId("t2"), 4, 1}},
                     kStart);
  TimePoint now = kStart;
  int sound = 0;
  for (int i = 0; i < 300; ++i) {
    const TargetId id = *book.Pick(kService, {}, now);
    sound += id == TargetId("sound") ? 1 : 0;
    Serve(book, id, milliseconds(id == TargetId("sound") ? 90 : 8), now);
    now += milliseconds(10);
  }
  cr_expect(sound > 285, "%d", sound);
}

// All hosts have lost their power; targets still hold the connections of before
// and have few places. Hosts that keep those to themselves leave the others'
// callers without an answer for ten seconds.
Test(target_book, a_host_that_has_just_started_gives_scarce_connections_back) {
  TargetBook book({.self = HostId("e"), .started = kStart});
  book.Learn(Record("t1", "a"), kStart);
  cr_expect_not(book.GivesBackConnections(kStart));
  book.OnSent(TargetId("t1"), kStart);
  book.OnTurnedAway(TargetId("t1"), kStart + seconds(1));
  cr_expect(book.GivesBackConnections(kStart + seconds(2)));
  // Nothing was turned away lately: places are there again.
  cr_expect_not(book.GivesBackConnections(kStart + seconds(6)));
}

// Many hosts under high load: now and then a target turns one away. Its other
// connections are kept, as each new one would cost its target time.
Test(target_book, a_host_that_runs_for_long_keeps_its_connections) {
  TargetBook book({.self = HostId("e"), .started = kStart});
  book.Learn(Record("t1", "a"), kStart);
  const TimePoint later = kStart + seconds(30);
  book.OnSent(TargetId("t1"), later);
  book.OnTurnedAway(TargetId("t1"), later);
  cr_expect_not(book.GivesBackConnections(later));
}

}  // namespace
}  // namespace knapweedroad
