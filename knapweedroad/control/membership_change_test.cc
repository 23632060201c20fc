#include "knapweedroad/control/membership_change.h"

#include <criterion/criterion.h>

#include "knapweedroad/control/control_value.h"

namespace knapweedroad {
namespace {

MemberId Member(const char* host) {
  return {HostId(host), 1};
}

ControlValue Stable() {
  ControlValue value;
  value.members = {.epoch = 1,
                   .current = {Member("a"), Member("b"), Member("c")}};
  return value;
}

MembershipRequest ReplaceAByD() {
  return {.author = {OperatorId("anna"), RequestId("m-1")},
          .leaving = HostId("a"),
          .joining = Member("d")};
}

// The step that settles a replacement reaches one replica only. Another host
// sees it there and leaves the joint sets; a majority of the old members, of
// whom none heard of the change, goes on deciding beside the new ones, and two
// configurations are in force. Cause: a step that wasn't chosen was built on.
Test(MembershipChange, JointSetsAreLeftOnlyAfterTheSettlingStepIsChosen) {
  ControlValue value = Stable();
  const MembershipRequest request = ReplaceAByD();
  ApplyMembershipStep(value, {.request = &request});
  ApplyMembershipStep(value, {.request = &request, .holders = {Member("d")}});
  cr_assert(value.members.phase == MembershipPhase::kFinishing);
  const ControlValue settled = value;
  ApplyMembershipStep(value, {.request = &request,
                              .holders = {Member("d")},
                              .chosen_epoch = settled.members.epoch - 1});
  cr_assert(value == settled);
  ApplyMembershipStep(
      value, {.request = &request, .chosen_epoch = settled.members.epoch});
  const std::vector<MemberId> expected = {Member("b"), Member("c"),
                                          Member("d")};
  cr_assert(value.members.phase == MembershipPhase::kStable);
  cr_assert(value.members.current == expected);
}

Test(MembershipChange, DuringAChangeBothSetsDecide) {
  ControlValue value = Stable();
  const MembershipRequest request = ReplaceAByD();
  ApplyMembershipStep(value, {.request = &request});
  cr_assert(!value.members.IsQuorum({Member("a"), Member("b")}));
  cr_assert(!value.members.IsQuorum({Member("c"), Member("d")}));
  cr_assert(value.members.IsQuorum({Member("a"), Member("b"), Member("d")}));
}

Test(MembershipChange, OneChangeRunsAtATime) {
  ControlValue value = Stable();
  const MembershipRequest first = ReplaceAByD();
  ApplyMembershipStep(value, {.request = &first});
  MembershipRequest second = ReplaceAByD();
  second.author.request_id = RequestId("m-2");
  const auto refused = ApplyMembershipStep(value, {.request = &second});
  cr_assert(refused.reason == ChangeReason::kRefused);
  cr_assert(ApplyMembershipStep(value, {.request = &second}) == refused);
}

// A host decides on a change, stands still, and carries it out after others
// have changed the members: two hosts drop one each from four, and two are
// left.
Test(MembershipChange, ARequestDecidedOnEarlierMembersIsRefused) {
  ControlValue value = Stable();
  MembershipRequest request = ReplaceAByD();
  request.epoch = value.members.epoch - 1;
  const auto refused = ApplyMembershipStep(value, {.request = &request});
  cr_assert(refused.reason == ChangeReason::kRefused);
  cr_assert(value.members == Stable().members);
  request.author.request_id = RequestId("m-2");
  request.epoch = value.members.epoch;
  const auto accepted = ApplyMembershipStep(value, {.request = &request});
  cr_assert(accepted.result == ChangeResult::kAccepted);
  cr_assert(value.members.phase == MembershipPhase::kJoining);
}

Test(MembershipChange, RefusesWhatMakesNoSense) {
  const ChangeAuthor author{OperatorId("anna"), RequestId("m-1")};
  const HostId unknown("x");
  const MemberId same_host{HostId("a"), 9};
  const MembershipRequest refused[] = {
      {.author = author},
      {.author = author, .leaving = unknown},
      {.author = author, .joining = Member("a")},
      {.author = author, .joining = same_host},
      {.author = author, .leaving = HostId("a"), .joining = Member("a")},
      {.author = author, .give_up = true},
  };
  for (const MembershipRequest& request : refused) {
    ControlValue value = Stable();
    const auto outcome = ApplyMembershipStep(value, {.request = &request});
    cr_expect(outcome.result == ChangeResult::kRejected);
    cr_expect(value.members == Stable().members);
  }
}

// A disk is lost and its host comes back blank under the same name.
Test(MembershipChange, AHostIsReplacedByItself) {
  ControlValue value = Stable();
  const MemberId fresh{HostId("a"), 9};
  const MembershipRequest request{
      .author = {OperatorId("anna"), RequestId("m-1")},
      .leaving = HostId("a"),
      .joining = fresh};
  ApplyMembershipStep(value, {.request = &request});
  const std::vector<MemberId> expected = {Member("b"), Member("c"), fresh};
  cr_assert(value.members.next == expected);
}

}  // namespace
}  // namespace knapweedroad
