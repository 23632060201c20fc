#include "knapweedroad/control/membership_change.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include <xxhash.h>

#include "knapweedroad/control/control_value.h"

namespace knapweedroad {
namespace {

uint64_t Fingerprint(const MembershipRequest& request) {
  std::ostringstream content;
  content << "members leaving=" << request.leaving.value_or(HostId())
          << " joining=" << request.joining.value_or(MemberId())
          << " give_up=" << request.give_up;
  if (request.epoch.has_value()) {
    content << " epoch=" << *request.epoch;
  }
  const std::string text = content.str();
  return XXH64(text.data(), text.size(), 0);
}

void Advance(ControlValue& value, MembershipPhase phase) {
  value.members.phase = phase;
  ++value.members.epoch;
  ++value.revision;
}

// Why the request can't begin; empty if it can.
std::string_view WhyRefused(const Membership& members,
                            const MembershipRequest& request) {
  if (request.epoch.value_or(members.epoch) != members.epoch) {
    return "the members have changed since this was decided";
  }
  if (request.give_up) {
    return members.phase == MembershipPhase::kJoining
               ? ""
               : "no change of members is running that can be given up";
  }
  if (members.phase != MembershipPhase::kStable) {
    return "another change of members is running";
  }
  if (!request.leaving.has_value() && !request.joining.has_value()) {
    return "neither a leaving nor a joining member is named";
  }
  if (request.leaving.has_value() && !members.FindCurrent(*request.leaving)) {
    return "the leaving host is no member";
  }
  if (!request.joining.has_value()) {
    return members.current.size() > 1 ? "" : "the last member can't leave";
  }
  const auto same_host = members.FindCurrent(request.joining->host);
  if (request.joining->incarnation == 0) {
    return "the joining member's incarnation isn't known";
  }
  if (same_host.has_value() && request.leaving != request.joining->host) {
    return "the joining host is a member already: replace it by itself if its "
           "disk was lost";
  }
  if (same_host == request.joining) {
    return "the joining member is a member already";
  }
  if (!request.leaving.has_value() && members.current.size() >= kMaxMembers) {
    return "there are as many members as can be";
  }
  return "";
}

void Begin(ControlValue& value, const MembershipRequest& request) {
  Membership& members = value.members;
  if (request.give_up) {
    Advance(value, MembershipPhase::kReverting);
    return;
  }
  members.next = members.current;
  if (request.leaving.has_value()) {
    std::erase_if(members.next, [&](const MemberId& member) {
      return member.host == *request.leaving;
    });
  }
  if (request.joining.has_value()) {
    members.next.push_back(*request.joining);
  }
  Advance(value, MembershipPhase::kJoining);
}

void CarryOn(ControlValue& value, const MembershipStep& step) {
  Membership& members = value.members;
  if (members.phase == MembershipPhase::kJoining) {
    const std::vector<MemberId> joining = members.Joining();
    const bool all_hold = std::all_of(
        joining.begin(), joining.end(),
        [&](const MemberId& member) { return step.holders.contains(member); });
    if (all_hold) {
      Advance(value, MembershipPhase::kFinishing);
    }
    return;
  }
  if (step.chosen_epoch != members.epoch) {
    return;
  }
  if (members.phase == MembershipPhase::kFinishing) {
    members.current = std::exchange(members.next, {});
    Advance(value, MembershipPhase::kStable);
  } else if (members.phase == MembershipPhase::kReverting) {
    members.next.clear();
    Advance(value, MembershipPhase::kStable);
  }
}

}  // namespace

ChangeOutcome ApplyMembershipStep(ControlValue& value,
                                  const MembershipStep& step) {
  ChangeOutcome running{.result = ChangeResult::kAccepted,
                        .version = value.version};
  if (step.request == nullptr) {
    CarryOn(value, step);
    return running;
  }
  const uint64_t fingerprint = Fingerprint(*step.request);
  const ChangeAuthor& author = step.request->author;
  if (const RecordedOutcome* first = value.FindOutcome(author)) {
    if (first->fingerprint != fingerprint) {
      return {.result = ChangeResult::kRejected,
              .reason = ChangeReason::kRequestIdReused,
              .version = value.version};
    }
    ChangeOutcome outcome = first->outcome;
    CarryOn(value, step);
    return outcome;
  }
  const std::string_view refusal = WhyRefused(value.members, *step.request);
  if (!refusal.empty()) {
    ChangeOutcome refused{.result = ChangeResult::kRejected,
                          .reason = ChangeReason::kRefused,
                          .version = value.version,
                          .detail = std::string(refusal)};
    value.Record(author, fingerprint, refused);
    return refused;
  }
  Begin(value, *step.request);
  value.Record(author, fingerprint, running);
  return running;
}

}  // namespace knapweedroad
