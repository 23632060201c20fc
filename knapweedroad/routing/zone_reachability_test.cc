#include "knapweedroad/routing/zone_reachability.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

void ReportSilentTargets(ZoneReachability& reachability, int count) {
  for (int i = 0; i < count; ++i) {
    reachability.OnUnanswered(TargetId("t" + std::to_string(i)));
  }
}

void ReportRefusedRequests(ZoneReachability& reachability, int count) {
  for (int i = 0; i < count; ++i) {
    reachability.OnRequestEnded(/*is_served=*/false, kStart);
  }
}

// Callers of one zone are refused for six seconds. The zone has no targets of
// the shards and is cut off; its hosts went on saying that they were ready, so
// callers that came back came back to them.
Test(zone_reachability, a_cut_off_zone_without_targets_sends_its_callers_away) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 4);
  ReportRefusedRequests(reachability, 4);
  cr_expect(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
}

// The zone has its own targets of everything: it goes on by itself.
Test(zone_reachability, a_cut_off_zone_with_targets_keeps_its_callers) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 4);
  reachability.OnRequestEnded(/*is_served=*/true, kStart + milliseconds(900));
  cr_expect(reachability.is_cut_off(kStart + seconds(1)));
  cr_expect_not(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
}

// All targets of a shard are down everywhere. Hosts of other zones would refuse
// as well; nobody may leave.
Test(zone_reachability, a_shard_that_is_down_everywhere_sends_nobody_away) {
  ZoneReachability reachability;
  ReportSilentTargets(reachability, 3);
  ReportRefusedRequests(reachability, 20);
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 2);
  cr_expect_not(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
}

Test(zone_reachability, the_first_answer_from_outside_ends_it) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 4);
  ReportRefusedRequests(reachability, 4);
  cr_expect(reachability.OnAnswered(kStart + seconds(1)));
  cr_expect_not(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
  cr_expect_not(reachability.OnAnswered(kStart + milliseconds(1001)));
}

// Of a cut off zone's hosts one has had no callers lately. It alone stays
// ready, and the balancer goes on sending everybody into the zone.
Test(zone_reachability, a_host_without_callers_follows_its_zone) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  reachability.OnControlReport(/*is_cut_off=*/true, kStart + seconds(1));
  const TimePoint now = kStart + seconds(2);
  cr_assert(reachability.is_cut_off(now));
  cr_expect_not(reachability.ShouldDivert(/*zone_serves_all=*/true, now));
  cr_expect(reachability.ShouldDivert(/*zone_serves_all=*/false, now));
  reachability.OnControlReport(/*is_cut_off=*/false, now);
  cr_expect_not(reachability.ShouldDivert(/*zone_serves_all=*/false, now));
}

// Only the zone's control host is cut off: its hosts hear from other zones.
Test(zone_reachability, a_cut_off_control_host_alone_sends_nobody_away) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart - milliseconds(100));
  for (TimePoint now = kStart; now < kStart + seconds(5); now += seconds(1)) {
    reachability.OnControlReport(/*is_cut_off=*/true, now);
    cr_expect_not(reachability.ShouldDivert(/*zone_serves_all=*/false, now));
    reachability.OnAnswered(now);
    cr_expect_not(reachability.ShouldDivert(/*zone_serves_all=*/false,
                                            now + milliseconds(900)));
  }
}

// A few lookups that the zone can serve come between: a host that changes its
// word with each of them is in and out of rotation, and callers stay.
Test(zone_reachability,
     it_keeps_its_word_until_something_answers_from_outside) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 4);
  ReportRefusedRequests(reachability, 4);
  const TimePoint now = kStart + seconds(1);
  cr_assert(reachability.ShouldDivert(/*zone_serves_all=*/true, now));
  for (int i = 0; i < 5; ++i) {
    reachability.OnRequestEnded(/*is_served=*/true, now);
  }
  cr_expect(reachability.ShouldDivert(/*zone_serves_all=*/true, now));
}

// Guards against one host of a cut off zone that stays ready for a second,
// and gets all of the zone's callers: its requests were sent, and failed.
Test(zone_reachability, requests_that_were_sent_and_failed_count_as_unserved) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  reachability.OnControlReport(/*is_cut_off=*/true, kStart + milliseconds(800));
  const TimePoint now = kStart + milliseconds(1250);
  reachability.OnRequestEnded(/*is_served=*/false, now);
  cr_expect(reachability.ShouldDivert(/*zone_serves_all=*/false, now));
}

}  // namespace
}  // namespace knapweedroad
