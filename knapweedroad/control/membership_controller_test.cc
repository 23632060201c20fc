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

MemberView View(Membership members, std::set<MemberId> answering) {
  return {.members = std::move(members),
          .has_quorum = true,
          .is_formed = true,
          .answering = std::move(answering)};
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
                        {Member("a", 2), Member("b"), Member("c")}),
                   kStart);
  cr_expect(action.step == MemberStep::kMove);
  cr_expect(action.leaving == HostId("a") && action.joining == HostId("a"));
}

// A newcomer joins beside a member that is gone for good: four members need
// three votes, and after one more loss only two are left, for good.
Test(membership_controller, a_newcomer_is_never_added_beside_a_lost_member) {
  const Membership members = Members({Member("a"), Member("b"), Member("c")});
  const std::set<MemberId> without_c = {Member("a"), Member("b"), Member("d")};
  MembershipController watch({.self = Member("d")});
  cr_expect(watch.Decide(View(members, without_c), kStart).step ==
            MemberStep::kNone);
  cr_expect(!watch.IsSettled(kStart));
  const MemberAction replaced =
      watch.Decide(View(members, without_c), kStart + seconds(1));
  cr_expect(replaced.step == MemberStep::kMove);
  cr_expect(replaced.leaving == HostId("c"));
  cr_expect(replaced.joining == HostId("d"));
}

Test(membership_controller, a_newcomer_is_added_to_members_that_all_answer) {
  const Membership members = Members({Member("a"), Member("b"), Member("c")});
  MembershipController watch({.self = Member("d")});
  const MemberAction added = watch.Decide(
      View(members, {Member("a"), Member("b"), Member("c"), Member("d")}),
      kStart);
  cr_expect(added.step == MemberStep::kMove && !added.leaving);
  cr_expect(added.joining == HostId("d"));
}

// A joining host loses its disk again. It answers, as yet another member, and
// the change that waits for the former one never ends.
Test(membership_controller, a_change_is_undone_whose_joining_replica_is_gone) {
  Membership members = Members({Member("a"), Member("b"), Member("c")});
  members.phase = MembershipPhase::kJoining;
  members.next = {Member("a", 2), Member("b"), Member("c")};
  const std::set<MemberId> answering = {Member("a", 3), Member("b"),
                                        Member("c")};
  for (const MemberId& self : {Member("a", 3), Member("b")}) {
    MembershipController watch({.self = self});
    cr_expect(watch.Decide(View(members, answering), kStart).step ==
              MemberStep::kGiveUp);
  }
}

// A proposer dies after one replica has accepted its value: nobody can tell
// who the members are, and no lost one is replaced until the next change.
Test(membership_controller, a_value_that_is_not_chosen_is_settled) {
  MembershipController watch({.self = Member("a")});
  const MemberView undecided{.has_quorum = true, .is_formed = true};
  cr_expect(watch.Decide(undecided, kStart).step == MemberStep::kNone);
  cr_expect(watch.Decide(undecided, kStart + seconds(1)).step ==
            MemberStep::kSettle);
}

// A machine is removed as planned after its successor has joined. Its vote
// stays behind, and one more loss leaves two of four.
Test(membership_controller, a_member_that_stops_leaves_if_three_are_left) {
  const std::set<MemberId> all = {Member("a"), Member("b"), Member("c"),
                                  Member("d")};
  const Membership four =
      Members({Member("a"), Member("b"), Member("c"), Member("d")});
  MembershipController watch({.self = Member("a")});
  const MemberAction left = watch.Leave(View(four, all));
  cr_expect(left.step == MemberStep::kMove && left.leaving == HostId("a"));
  cr_expect(!left.joining && left.epoch == four.epoch);
  cr_expect(watch.Leave(View(four, {Member("a"), Member("b")})).step ==
            MemberStep::kNone);
  const Membership three = Members({Member("a"), Member("b"), Member("c")});
  cr_expect(watch.Leave(View(three, all)).step == MemberStep::kNone);
}

// A member never comes back. It counts on in every majority, until one more
// failure leaves none though enough hosts run.
Test(membership_controller, the_first_member_takes_out_one_that_is_long_away) {
  const Membership members =
      Members({Member("a"), Member("b"), Member("c"), Member("d")});
  const std::set<MemberId> without_d = {Member("a"), Member("b"), Member("c")};
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
                               {Member("a"), Member("b")});
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
  const std::set<MemberId> all = {Member("a"), Member("b"), Member("c"),
                                  Member("d")};
  cr_expect(watch.Decide(View(members, all), kStart).step == MemberStep::kNone);
  cr_expect(watch.Decide(View(members, all), kStart + seconds(2)).step ==
            MemberStep::kCarryOn);
  std::set<MemberId> without_d = all;
  without_d.erase(Member("d"));
  watch.Decide(View(members, without_d), kStart + seconds(3));
  cr_expect(watch.Decide(View(members, without_d), kStart + seconds(7)).step ==
            MemberStep::kGiveUp);
}

}  // namespace
}  // namespace knapweedroad
