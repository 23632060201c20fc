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

// Guards against hosts that refuse all callers for seconds and still report
// that they are ready, so that callers return to them: their zone is cut off
// and has no targets for the shards.
Test(zone_reachability, a_cut_off_zone_without_targets_diverts_its_callers) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 4);
  ReportRefusedRequests(reachability, 4);
  cr_expect(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
}

// Guards against diverting callers from a cut off zone that has targets for
// every route.
Test(zone_reachability, a_cut_off_zone_with_targets_keeps_its_callers) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 4);
  reachability.OnRequestEnded(/*is_served=*/true, kStart + milliseconds(900));
  cr_expect(reachability.is_cut_off(kStart + seconds(1)));
  cr_expect_not(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
}

// Guards against diverting callers when all targets of a shard are down in
// every zone, as hosts of other zones would refuse them too.
Test(zone_reachability, a_shard_that_is_down_in_all_zones_diverts_nobody) {
  ZoneReachability reachability;
  ReportSilentTargets(reachability, 3);
  ReportRefusedRequests(reachability, 20);
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 2);
  cr_expect_not(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
}

Test(zone_reachability, the_first_answer_from_another_zone_ends_the_diversion) {
  ZoneReachability reachability;
  reachability.OnAnswered(kStart);
  ReportSilentTargets(reachability, 4);
  ReportRefusedRequests(reachability, 4);
  cr_expect(reachability.OnAnswered(kStart + seconds(1)));
  cr_expect_not(
      reachability.ShouldDivert(/*zone_serves_all=*/true, kStart + seconds(1)));
  cr_expect_not(reachability.OnAnswered(kStart + milliseconds(1001)));
}

// Guards against one host of a cut off zone that stays ready because it had no
// recent requests: the balancer would keep sending all callers to the zone.
Test(zone_reachability, a_host_without_requests_decides_by_its_zones_targets) {
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

// Guards against diverting callers when only the zone's control host is cut off
// and its entry hosts still receive answers from other zones.
Test(zone_reachability, a_cut_off_control_host_alone_diverts_nobody) {
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

// Guards against a host that changes its decision with each request that the
// zone can serve: its readiness would alternate, and callers would stay.
Test(zone_reachability, diverts_until_another_zone_answers) {
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

// Guards against a host of a cut off zone that stays ready for a second and
// receives all of the zone's callers, because requests that were sent and
// failed did not count.
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
