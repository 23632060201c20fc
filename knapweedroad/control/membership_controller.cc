#include "knapweedroad/control/membership_controller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "knapweedroad/control/membership_change.h"

namespace knapweedroad {
namespace {

// Fewer than three can't bear the loss of one.
constexpr size_t kLeastMembers = 3;
// A newcomer replaces a member that has been away for this share of the
// catch-up time, and a change that has hung for as long is ended by others.
constexpr int kReplaceShare = 4;
// A member leaves without a successor after this share: a newcomer goes first.
constexpr double kDropShare = 0.375;

bool RunsAnotherReplica(const std::set<MemberId>& answering,
                        const MemberId& member) {
  return std::ranges::any_of(answering, [&](const MemberId& other) {
    return other.host == member.host && other != member;
  });
}

}  // namespace

MembershipController::MembershipController(MembershipControllerOptions options)
    : options(std::move(options)) {}

Duration MembershipController::AwayFor(const MemberId& member,
                                       TimePoint now) const {
  const auto found = this->away_since.find(member);
  return found == this->away_since.end() ? Duration::zero()
                                         : now - found->second;
}

void MembershipController::Observe(const Membership& members,
                                   const MemberView& view,
                                   TimePoint now) {
  const std::vector<MemberId> everyone = members.Everyone();
  std::erase_if(this->away_since, [&](const auto& entry) {
    return view.answering.contains(entry.first) ||
           std::ranges::find(everyone, entry.first) == everyone.end();
  });
  for (const MemberId& member : everyone) {
    if (!view.answering.contains(member)) {
      this->away_since.try_emplace(member, now);
    }
  }
}

// A host without a vote asks for one, in the place of its own former life or of
// a lost member: after a lost disk or a replaced host the next loss would leave
// too few replicas to decide. It isn't added beside a member that doesn't
// answer: each lost member that stays raises the number of votes that the
// others need, and after one more loss they couldn't even remove it.
MemberAction MembershipController::Join(const Membership& members,
                                        TimePoint now) const {
  MemberAction action{.step = MemberStep::kMove,
                      .joining = this->options.self.host,
                      .epoch = members.epoch};
  if (members.FindCurrent(this->options.self.host)) {
    action.leaving = this->options.self.host;
    return action;
  }
  Duration longest = this->options.catch_up / kReplaceShare;
  for (const MemberId& member : members.current) {
    const Duration away = this->AwayFor(member, now);
    if (away >= longest) {
      longest = away;
      action.leaving = member.host;
    }
  }
  const bool has_room =
      this->away_since.empty() && members.current.size() < kMaxMembers;
  return action.leaving || has_room ? action : MemberAction{};
}

// A member that is gone for good still counts for majorities. One member, the
// first in order that answers, takes it out.
MemberAction MembershipController::DropLost(const Membership& members,
                                            const MemberView& view,
                                            TimePoint now) const {
  if (members.current.size() <= kLeastMembers) {
    return {};
  }
  const auto drop_after =
      std::chrono::duration_cast<Duration>(this->options.catch_up * kDropShare);
  std::optional<HostId> first;
  std::optional<HostId> lost;
  size_t present = 0;
  for (const MemberId& member : members.current) {
    if (view.answering.contains(member)) {
      ++present;
      first = first ? std::min(*first, member.host) : member.host;
    } else if (this->AwayFor(member, now) >= drop_after) {
      lost = member.host;
    }
  }
  // What is left still has a majority of itself.
  const bool is_safe = present > (members.current.size() - 1) / 2;
  if (!lost || !is_safe || first != this->options.self.host) {
    return {};
  }
  return {.step = MemberStep::kMove, .leaving = lost, .epoch = members.epoch};
}

MemberAction MembershipController::EndChange(const Membership& members,
                                             const MemberView& view,
                                             TimePoint now) {
  const Duration patience = this->options.catch_up / kReplaceShare;
  const TimePoint since = this->unstable_since.value_or(now);
  this->unstable_since = since;
  // A host that runs another replica by now has lost the joining one for good.
  const bool has_lost_joiner =
      std::ranges::any_of(members.Joining(), [&](const MemberId& member) {
        return this->AwayFor(member, now) >= patience ||
               RunsAnotherReplica(view.answering, member);
      });
  if (members.phase == MembershipPhase::kJoining && has_lost_joiner) {
    return {.step = MemberStep::kGiveUp, .epoch = members.epoch};
  }
  return {.step = now - since >= patience ? MemberStep::kCarryOn
                                          : MemberStep::kNone};
}

MemberAction MembershipController::SettleOrForm(const MemberView& view,
                                                TimePoint now) {
  if (!view.has_quorum) {
    this->unchosen_since.reset();
    const bool forms = this->options.may_form && !view.is_formed;
    return {.step = forms ? MemberStep::kForm : MemberStep::kNone};
  }
  const TimePoint since = this->unchosen_since.value_or(now);
  this->unchosen_since = since;
  const bool has_hung = now - since >= this->options.catch_up / kReplaceShare;
  return {.step = has_hung ? MemberStep::kSettle : MemberStep::kNone};
}

MemberAction MembershipController::Decide(const MemberView& view,
                                          TimePoint now) {
  if (!view.members) {
    return this->SettleOrForm(view, now);
  }
  this->unchosen_since.reset();
  const Membership& members = *view.members;
  this->Observe(members, view, now);
  this->is_joining = std::ranges::find(members.current, this->options.self) ==
                     members.current.end();
  if (members.phase != MembershipPhase::kStable) {
    return this->EndChange(members, view, now);
  }
  this->unstable_since.reset();
  if (!this->is_joining) {
    return this->DropLost(members, view, now);
  }
  MemberAction action = this->Join(members, now);
  this->is_joining = action.step != MemberStep::kNone;
  return action;
}

MemberAction MembershipController::Leave(const MemberView& view) const {
  if (!view.members || view.members->phase != MembershipPhase::kStable ||
      view.members->current.size() <= kLeastMembers) {
    return {};
  }
  const std::vector<MemberId>& current = view.members->current;
  const bool is_member =
      std::ranges::find(current, this->options.self) != current.end();
  const auto others =
      std::ranges::count_if(current, [&](const MemberId& member) {
        return member != this->options.self && view.answering.contains(member);
      });
  const bool is_safe = static_cast<size_t>(others) > (current.size() - 1) / 2;
  if (!is_member || !is_safe) {
    return {};
  }
  return {.step = MemberStep::kMove,
          .leaving = this->options.self.host,
          .epoch = view.members->epoch};
}

bool MembershipController::IsSettled(TimePoint now) const {
  const auto drop_after =
      std::chrono::duration_cast<Duration>(this->options.catch_up * kDropShare);
  const bool is_judging = std::ranges::any_of(
      this->away_since,
      [&](const auto& entry) { return now - entry.second <= drop_after; });
  return !is_judging && !this->is_joining && !this->unstable_since &&
         !this->unchosen_since;
}

}  // namespace knapweedroad
