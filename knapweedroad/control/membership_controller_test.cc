#include "knapweedroad/control/membership_controller.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

MemberId Member(const char* host, uint64_t incarnation = 1) {
  return {HostId(host), incarnation};
}

Membership Members(std::vector<MemberId> current) {
  return {.epoch = 1, .current = std::move(current)};
}

MemberView View(Membership members, std::set<HostId> reachable) {
  return {.members = std::move(members),
          .is_formed = true,
          .reachable = std::move(reachable)};
}

// Control's hosts all lose their power; three come back, one with an empty
// disk. A second membership formed by it would forget all that was accepted.
Test(membership_controller,
     forms_only_at_the_first_start_and_where_nobody_has) {
  MembershipController later({.self = Member("a")});
  cr_expect(later.Decide({}, kStart).step == MemberStep::kNone);
  MembershipController first({.self = Member("a"), .may_form = true});
  cr_expect(first.Decide({}, kStart).step == MemberStep::kForm);
  cr_expect(first.Decide({.is_formed = true}, kStart).step ==
            MemberStep::kNone);
}

// A host lost its disk: its old vote is gone for good, the next loss leaves no
// majority, and changes are never accepted any more.
Test(membership_controller, a_blank_replica_takes_its_former_lifes_place) {
  MembershipController watch({.self = Member("a", 2)});
  const MemberAction action =
      watch.Decide(View(Members({Member("a", 1), Member("b"), Member("c")}),
                        {HostId("a"), HostId("b"), HostId("c")}),
                   kStart);
  cr_expect(action.step == MemberStep::kMove);
  cr_expect(action.leaving == HostId("a") && action.joining == HostId("a"));
}

Test(membership_controller,
     a_newcomer_is_added_or_replaces_a_member_long_away) {
  const Membership members = Members({Member("a"), Member("b"), Member("c")});
  const std::set<HostId> without_c = {HostId("a"), HostId("b"), HostId("d")};
  MembershipController watch({.self = Member("d")});
  const MemberAction added = watch.Decide(View(members, without_c), kStart);
  cr_expect(added.step == MemberStep::kMove && !added.leaving);
  const MemberAction replaced =
      watch.Decide(View(members, without_c), kStart + seconds(4));
  cr_expect(replaced.leaving == HostId("c"));
  cr_expect(replaced.joining == HostId("d"));
}

// A member never comes back. It counts on in every majority, until one more
// failure leaves none though enough hosts run.
Test(membership_controller, the_first_member_takes_out_one_that_is_long_away) {
  const Membership members =
      Members({Member("a"), Member("b"), Member("c"), Member("d")});
  const std::set<HostId> without_d = {HostId("a"), HostId("b"), HostId("c")};
  MembershipController first({.self = Member("a")});
  MembershipController second({.self = Member("b")});
  cr_expect(first.Decide(View(members, without_d), kStart).step ==
            MemberStep::kNone);
  const TimePoint later = kStart + seconds(16);
  second.Decide(View(members, without_d), kStart);
  cr_expect(second.Decide(View(members, without_d), later).step ==
            MemberStep::kNone);
  const MemberAction action = first.Decide(View(members, without_d), later);
  cr_expect(action.step == MemberStep::kMove && action.leaving == HostId("d"));
}

Test(membership_controller, never_leaves_fewer_than_three) {
  MembershipController watch({.self = Member("a")});
  const MemberView view = View(Members({Member("a"), Member("b"), Member("c")}),
                               {HostId("a"), HostId("b")});
  watch.Decide(view, kStart);
  cr_expect(watch.Decide(view, kStart + seconds(60)).step == MemberStep::kNone);
}

// The host that was changing the members dies half way; nothing else may
// change until somebody finishes or undoes it.
Test(membership_controller, a_change_left_half_done_is_finished_or_undone) {
  Membership members = Members({Member("a"), Member("b"), Member("c")});
  members.phase = MembershipPhase::kJoining;
  members.next = {Member("a"), Member("b"), Member("c"), Member("d")};
  MembershipController watch({.self = Member("a")});
  const std::set<HostId> all = {HostId("a"), HostId("b"), HostId("c"),
                                HostId("d")};
  cr_expect(watch.Decide(View(members, all), kStart).step == MemberStep::kNone);
  cr_expect(watch.Decide(View(members, all), kStart + seconds(2)).step ==
            MemberStep::kCarryOn);
  std::set<HostId> without_d = all;
  without_d.erase(HostId("d"));
  watch.Decide(View(members, without_d), kStart + seconds(3));
  cr_expect(watch.Decide(View(members, without_d), kStart + seconds(7)).step ==
            MemberStep::kGiveUp);
}

}  // namespace
}  // namespace knapweedroad
