// Decides when a control host changes the set of control replicas by itself:
// a blank one takes its place, and one that is gone for good is replaced.
//
//   MembershipController watch({.self = own_member, .may_form = first_start});
//   MemberAction action = watch.Decide(view, now);

#ifndef KNAPWEEDROAD_CONTROL_MEMBERSHIP_CONTROLLER_H_
#define KNAPWEEDROAD_CONTROL_MEMBERSHIP_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "knapweedroad/base/time.h"
#include "knapweedroad/control/member_id.h"
#include "knapweedroad/control/membership.h"

namespace knapweedroad {

// What a control host has just learned by asking all replicas it knows.
struct MemberView {
  // Of the chosen value; absent where none could be had.
  std::optional<Membership> members;
  // Some replica holds a value or knows of members.
  bool is_formed = false;
  // Hosts whose replica has answered.
  std::set<HostId> reachable;
};

enum class MemberStep : uint8_t {
  kNone,
  kForm,     // form the first membership
  kMove,     // put `joining` in, and `leaving` out
  kCarryOn,  // finish a change that another host has begun
  kGiveUp,   // undo a change whose joining member has gone
};

struct MemberAction {
  MemberStep step = MemberStep::kNone;
  std::optional<HostId> leaving;
  std::optional<HostId> joining;
};

struct MembershipControllerOptions {
  MemberId self;
  // The whole system starts for the first time.
  bool may_form = false;
};

class MembershipController {
 public:
  explicit MembershipController(MembershipControllerOptions options);

  MemberAction Decide(const MemberView& view, TimePoint now);

 private:
  Duration AwayFor(const HostId& host, TimePoint now) const;
  MemberAction Join(const Membership& members, TimePoint now) const;
  MemberAction DropLost(const Membership& members,
                        const MemberView& view,
                        TimePoint now) const;

  MembershipControllerOptions options;
  // Since when a host has not answered; absent while it does.
  std::map<HostId, TimePoint> away_since;
  std::optional<TimePoint> unstable_since;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_MEMBERSHIP_CONTROLLER_H_
