#include "knapweedroad/registry/follow_plan.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

// Six control hosts, one in each of the zones a to f, all well.
std::vector<FollowCandidate> SixZones() {
  std::vector<FollowCandidate> known;
  for (int i = 0; i < 6; ++i) {
    const std::string zone(1, static_cast<char>('a' + i));
    known.push_back({.host = HostId("control-" + zone),
                     .zone = ZoneId(zone),
                     .is_live = true,
                     .hears_all = true,
                     .rank = static_cast<uint64_t>(10 - i)});
  }
  return known;
}

std::vector<HostId> PlanIn(const char* zone,
                           const std::vector<FollowCandidate>& known) {
  return PlanFollowing(known, {.zone = ZoneId(zone)});
}

// Guards against every change crossing to each host from other zones.
Test(follow_plan, the_own_zones_control_host_is_enough) {
  const std::vector<HostId> plan = PlanIn("d", SixZones());
  cr_expect(plan == std::vector{HostId("control-d")});
}

// Guards against a host that hears nothing while its zone's control host is
// down.
Test(follow_plan, another_zones_is_enough_while_the_own_one_is_lost) {
  std::vector<FollowCandidate> known = SixZones();
  known[3].is_live = false;
  known[3].failed_lately = true;
  const std::vector<HostId> plan = PlanIn("d", known);
  cr_expect(plan.size() == 1);
  cr_expect(plan.front() != HostId("control-d"));
}

// Guards against a host that stays with another zone's control host for good.
Test(follow_plan, the_own_zones_is_tried_again) {
  std::vector<FollowCandidate> known = SixZones();
  known[3].is_live = false;
  const std::vector<HostId> plan = PlanIn("d", known);
  cr_expect(plan.size() == 2);
  cr_expect(plan.front() == HostId("control-d"));
}

// Guards against stale news: the own zone's control host is cut off from
// others, whose targets it no longer hears of, but not from its entry hosts.
Test(follow_plan, one_that_lacks_others_isnt_enough) {
  std::vector<FollowCandidate> known = SixZones();
  known[3].hears_all = false;
  cr_expect(PlanIn("d", known).size() == 2);
  for (FollowCandidate& candidate : known) {
    candidate.hears_all = false;
  }
  cr_expect(PlanIn("d", known).size() == 3);
}

// Guards against entry hosts that go by an old configuration because those that
// they follow are cut off from the majority together.
Test(follow_plan, a_minority_that_comes_first_hides_no_majority) {
  std::vector<FollowCandidate> known = SixZones();
  known.push_back({.host = HostId("control-g"),
                   .zone = ZoneId("g"),
                   .is_live = true,
                   .rank = 0});
  for (FollowCandidate& candidate : known) {
    candidate.hears_all = false;
    candidate.has_quorum = true;
  }
  // The own zone's, and the first two by rank.
  for (const int minority : {3, 6, 5}) {
    known[minority].has_quorum = false;
  }
  const std::vector<HostId> plan = PlanFollowing(
      known, {.zone = ZoneId("d"), .most = 3, .most_without_quorum = 7});
  cr_expect(plan.size() == 4);
  cr_expect(plan.back() == HostId("control-e"));
}

// Guards against entry hosts that lose the majority's news again as soon as
// they have found it.
Test(follow_plan, a_quorum_that_was_found_is_kept) {
  std::vector<FollowCandidate> known = SixZones();
  for (FollowCandidate& candidate : known) {
    candidate.hears_all = false;
  }
  // The last in order.
  known[0].has_quorum = true;
  const std::vector<HostId> plan = PlanFollowing(
      known, {.zone = ZoneId("d"), .most = 3, .most_without_quorum = 3});
  cr_expect(plan.size() == 4);
  cr_expect(plan.back() == HostId("control-a"));
}

// Guards against hundreds of hosts that follow all control hosts at once while
// there is no quorum anywhere.
Test(follow_plan, without_any_quorum_no_more_than_allowed_are_followed) {
  std::vector<FollowCandidate> known = SixZones();
  for (FollowCandidate& candidate : known) {
    candidate.hears_all = false;
  }
  cr_expect(
      PlanFollowing(known,
                    {.zone = ZoneId("d"), .most = 3, .most_without_quorum = 4})
          .size() == 4);
}

// Guards against a start at which the only one followed is down.
Test(follow_plan, several_are_followed_until_one_has_answered) {
  std::vector<FollowCandidate> known = SixZones();
  for (FollowCandidate& candidate : known) {
    candidate.is_live = false;
    candidate.zone = ZoneId();
  }
  cr_expect(PlanIn("d", known).size() == 3);
}

}  // namespace
}  // namespace knapweedroad
