// The steps by which replicas are added, removed and replaced.
//
//   MembershipRequest request{.author = ..., .leaving = HostId("leuven-1"),
//                             .joining = fresh_member};
//   // Run after run, until the members are stable again:
//   ApplyMembershipStep(value, {.request = &request, .holders = holders,
//                               .chosen_epoch = chosen});

#ifndef KNAPWEEDROAD_CONTROL_MEMBERSHIP_CHANGE_H_
#define KNAPWEEDROAD_CONTROL_MEMBERSHIP_CHANGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "knapweedroad/control/change_request.h"
#include "knapweedroad/control/member_id.h"

namespace knapweedroad {

struct ControlValue;

inline constexpr size_t kMaxMembers = 7;

// Replaces with both members given, else adds or removes; with `give_up` set
// it ends a running change in favour of the members before it.
struct MembershipRequest {
  ChangeAuthor author;
  std::optional<HostId> leaving;
  std::optional<MemberId> joining;
  bool give_up = false;
  // The epoch of the members that the request was decided on. It is refused
  // once they have changed: the sets and the members' health that it was
  // judged by are out of date. Absent: it may begin at any epoch.
  std::optional<uint64_t> epoch;
};

struct MembershipStep {
  // Null: only carry on with a change that is running.
  const MembershipRequest* request = nullptr;
  // Members that reported to hold exactly the value that the step follows.
  std::set<MemberId> holders;
  // The epoch known to have been chosen by its quorum; zero: none.
  uint64_t chosen_epoch = 0;
};

// Takes the next step, if it may be taken yet, and returns the request's own
// outcome. A repeated call with the same request carries the change on.
//
// Two rules make a change safe at every interruption:
//  - A new member counts alone only after it holds the value: kJoining is left
//    forward only when each joining member is among `holders`. Otherwise a
//    second loss right after a repair would leave no holder in the majority.
//  - The joint sets are left only when the step that settled the direction is
//    known to be chosen. A replica that knows just the old set then finds that
//    step in any majority of it, so the old set can't decide alone any more.
ChangeOutcome ApplyMembershipStep(ControlValue& value,
                                  const MembershipStep& step);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_MEMBERSHIP_CHANGE_H_
