#include "knapweedroad/control/membership_controller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "knapweedroad/control/membership_change.h"

namespace knapweedroad {
namespace {

using std::chrono::seconds;

// A newcomer replaces a member that has been away for this long: longer than
// a restart or a lost packet, shorter than a machine's replacement takes.
constexpr Duration kReplaceAfter = seconds(3);
// A member away for this long leaves without a successor: most outages are
// over by then, and one that comes back later joins again by itself.
constexpr Duration kDropAfter = seconds(15);
// Fewer than three can't bear the loss of one.
constexpr size_t kLeastMembers = 3;
// A change of members takes a few round trips; one that has hung for this long
// lost the host that was making it, and for twice as long its joining member.
constexpr Duration kCarryOnAfter = seconds(1);
constexpr Duration kGiveUpAfter = seconds(3);

}  // namespace

MembershipController::MembershipController(MembershipControllerOptions options)
    : options(std::move(options)) {}

Duration MembershipController::AwayFor(const HostId& host,
                                       TimePoint now) const {
  const auto found = this->away_since.find(host);
  return found == this->away_since.end() ? Duration::zero()
                                         : now - found->second;
}

// A host without a vote asks for one, in the place of its own former life or of
// a lost member: after a lost disk or a replaced host the next loss would leave
// too few replicas to decide.
MemberAction MembershipController::Join(const Membership& members,
                                        TimePoint now) const {
  MemberAction action{.step = MemberStep::kMove,
                      .joining = this->options.self.host};
  if (members.FindCurrent(this->options.self.host)) {
    action.leaving = this->options.self.host;
    return action;
  }
  Duration longest = kReplaceAfter;
  for (const MemberId& member : members.current) {
    const Duration away = this->AwayFor(member.host, now);
    if (away >= longest) {
      longest = away;
      action.leaving = member.host;
    }
  }
  const bool is_full = members.current.size() >= kMaxMembers;
  if (!action.leaving && is_full) {
    return {};
  }
  return action;
}

// A member that is gone for good still counts for majorities. One member, the
// first in order that answers, takes it out.
MemberAction MembershipController::DropLost(const Membership& members,
                                            const MemberView& view,
                                            TimePoint now) const {
  if (members.current.size() <= kLeastMembers) {
    return {};
  }
  std::optional<HostId> first;
  std::optional<HostId> lost;
  size_t present = 0;
  for (const MemberId& member : members.current) {
    if (view.reachable.contains(member.host)) {
      ++present;
      first = first ? std::min(*first, member.host) : member.host;
    } else if (this->AwayFor(member.host, now) >= kDropAfter) {
      lost = member.host;
    }
  }
  // What is left still has a majority of itself.
  const bool is_safe = present > (members.current.size() - 1) / 2;
  if (!lost || !is_safe || first != this->options.self.host) {
    return {};
  }
  return {.step = MemberStep::kMove, .leaving = lost};
}

MemberAction MembershipController::Decide(const MemberView& view,
                                          TimePoint now) {
  if (!view.members) {
    const bool forms = this->options.may_form && !view.is_formed;
    return {.step = forms ? MemberStep::kForm : MemberStep::kNone};
  }
  const Membership& members = *view.members;
  const std::vector<MemberId> everyone = members.Everyone();
  for (const MemberId& member : everyone) {
    if (view.reachable.contains(member.host)) {
      this->away_since.erase(member.host);
    } else {
      this->away_since.try_emplace(member.host, now);
    }
  }
  if (members.phase != MembershipPhase::kStable) {
    const TimePoint since = this->unstable_since.value_or(now);
    this->unstable_since = since;
    const bool joining_away =
        std::ranges::any_of(members.Joining(), [&](const MemberId& member) {
          return this->AwayFor(member.host, now) >= kGiveUpAfter;
        });
    if (members.phase == MembershipPhase::kJoining && joining_away) {
      return {.step = MemberStep::kGiveUp};
    }
    return {.step = now - since >= kCarryOnAfter ? MemberStep::kCarryOn
                                                 : MemberStep::kNone};
  }
  this->unstable_since.reset();
  if (std::ranges::find(members.current, this->options.self) ==
      members.current.end()) {
    return this->Join(members, now);
  }
  return this->DropLost(members, view, now);
}

}  // namespace knapweedroad
