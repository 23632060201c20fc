// Decides when a control host changes the set of control replicas by itself:
// a blank one takes its place, and one that is gone for good is replaced.
// A change never makes a quorum depend on a member that may be lost.
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
  // A quorum of the newest value's members answered, whether or not that value
  // is chosen.
  bool has_quorum = false;
  // Some replica holds a value or knows of members.
  bool is_formed = false;
  // Replicas that have answered.
  std::set<MemberId> answering;
};

enum class MemberStep : uint8_t {
  kNone,
  kForm,     // form the first membership
  kMove,     // put `joining` in, and `leaving` out
  kCarryOn,  // finish a change that another host has begun
  kGiveUp,   // undo a change whose joining member has gone
  kSettle,   // have a value chosen that too few replicas have accepted
};

struct MemberAction {
  MemberStep step = MemberStep::kNone;
  std::optional<HostId> leaving;
  std::optional<HostId> joining;
  // Of the members that the step was decided on.
  std::optional<uint64_t> epoch;
};

struct MembershipControllerOptions {
  MemberId self;
  // The whole system starts for the first time.
  bool may_form = false;
  // How long after a replacement has started, or a host is back, one more loss
  // has to be borne. All waiting times are shares of it
  // (docs/design/agreement.md).
  Duration catch_up = std::chrono::seconds(4);
};

class MembershipController {
 public:
  explicit MembershipController(MembershipControllerOptions options);

  MemberAction Decide(const MemberView& view, TimePoint now);

  // What a member does before it stops for good or for a while: where enough
  // others are left it gives up its vote, so that they bear one more loss in
  // the meantime. It joins again if it comes back.
  MemberAction Leave(const MemberView& view) const;

  // Whether nothing is under way that a further look could decide.
  bool IsSettled(TimePoint now) const;

 private:
  // From the first look that a member didn't answer; zero while it does.
  Duration AwayFor(const MemberId& member, TimePoint now) const;
  void Observe(const Membership& members,
               const MemberView& view,
               TimePoint now);
  MemberAction SettleOrForm(const MemberView& view, TimePoint now);
  MemberAction Join(const Membership& members, TimePoint now) const;
  MemberAction DropLost(const Membership& members,
                        const MemberView& view,
                        TimePoint now) const;
  MemberAction EndChange(const Membership& members,
                         const MemberView& view,
                         TimePoint now);

  MembershipControllerOptions options;
  // Since when a member has not answered; absent while it does.
  std::map<MemberId, TimePoint> away_since;
  // Since when a change of members is running.
  std::optional<TimePoint> unstable_since;
  // Since when the newest value is known not to be chosen.
  std::optional<TimePoint> unchosen_since;
  // This host has no vote and may still get one.
  bool is_joining = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_MEMBERSHIP_CONTROLLER_H_
