#include "knapweedroad/control/change_run.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

bool AllIn(const std::vector<MemberId>& members,
           const std::set<MemberId>& set) {
  return std::all_of(
      members.begin(), members.end(),
      [&](const MemberId& member) { return set.contains(member); });
}

}  // namespace

ChangeRun::ChangeRun(ChangeRunOptions options) : options(std::move(options)) {}

RunActions ChangeRun::Start(TimePoint now) {
  RunActions actions;
  if (this->options.transform && this->options.known.has_value()) {
    this->StartPrepare(now, actions);
  } else {
    this->StartQuery(now, actions);
  }
  return this->Close(std::move(actions));
}

RunActions ChangeRun::OnPrepareReply(const PrepareReply& reply, TimePoint now) {
  RunActions actions;
  if (this->phase == Phase::kQuery && reply.ballot.IsNone()) {
    this->OnQueryReply(reply, now, actions);
  }
  if (this->phase == Phase::kPrepare && reply.ballot == this->ballot) {
    this->OnPromise(reply, now, actions);
  }
  return this->Close(std::move(actions));
}

RunActions ChangeRun::OnAcceptReply(const AcceptReply& reply, TimePoint now) {
  if (this->phase != Phase::kAccept || reply.ballot != this->ballot) {
    return this->Close({});
  }
  if (reply.status != ReplyStatus::kDone) {
    this->OnRefusal(reply.from, reply.status, reply.promised, now);
    return this->Close({});
  }
  this->SeeValue(this->ballot, this->proposed);
  this->accepted_by.insert(reply.from);
  const Membership& members = this->proposed->members;
  const bool chosen = this->forming ? AllIn(members.current, this->accepted_by)
                                    : members.IsQuorum(this->accepted_by);
  if (chosen) {
    this->Finish({.outcome = this->proposed_outcome,
                  .chosen = BallotedValue{this->ballot, *this->proposed}});
  }
  return this->Close({});
}

RunActions ChangeRun::OnWake(TimePoint now) {
  RunActions actions;
  if (this->phase == Phase::kDone || now < this->phase_end) {
    return this->Close({});
  }
  if (now >= this->options.deadline) {
    this->Finish({.outcome = {.reason = ChangeReason::kNoQuorum}});
    return actions;
  }
  switch (this->phase) {
    case Phase::kPrepare:
      if (!this->TryPropose(/*wait_for_joining=*/false, now, actions)) {
        this->query_first = true;
        this->StartBackoff(now);
      }
      break;
    case Phase::kAccept:
      this->StartBackoff(now);
      break;
    case Phase::kQuery:
    case Phase::kBackoff:
      this->NextAttempt(now, actions);
      break;
    case Phase::kDone:
      break;
  }
  return this->Close(std::move(actions));
}

void ChangeRun::NextAttempt(TimePoint now, RunActions& actions) {
  // The known members may have been replaced since, and are silent. A query
  // tells the members and the round of this moment; ballots made once an
  // attempt's time would be passed by other proposers' again and again.
  if (this->options.known.has_value() && !this->query_first) {
    this->StartPrepare(now, actions);
  } else {
    this->StartQuery(now, actions);
  }
}

void ChangeRun::EnterPhase(Phase phase, TimePoint end) {
  this->phase = phase;
  this->phase_end = std::min(end, this->options.deadline);
}

void ChangeRun::StartBackoff(TimePoint now) {
  this->EnterPhase(Phase::kBackoff, now + this->options.backoff(this->attempt));
}

void ChangeRun::StartQuery(TimePoint now, RunActions& actions) {
  this->EnterPhase(Phase::kQuery, now + this->options.attempt_timeout);
  ++this->attempt;
  this->query_first = false;
  this->asked.clear();
  this->answered.clear();
  this->blank.clear();
  if (this->options.known.has_value()) {
    this->AskForQuery(this->options.known->value.members.Everyone(), actions);
  }
  for (const HostId& host : this->options.ask_hosts) {
    this->AskForQuery({{.host = host}}, actions);
  }
  for (const HostId& host : this->options.first_hosts) {
    this->AskForQuery({{.host = host}}, actions);
  }
}

void ChangeRun::StartPrepare(TimePoint now, RunActions& actions) {
  this->EnterPhase(Phase::kPrepare, now + this->options.attempt_timeout);
  ++this->attempt;
  this->ballot = this->options.next_ballot(this->highest_round);
  this->highest_round = this->ballot.round;
  this->asked.clear();
  this->answered.clear();
  this->refused.clear();
  this->forming = !this->options.known.has_value();
  this->AskToPromise(this->forming
                         ? this->FirstMembers()
                         : this->options.known->value.members.Everyone(),
                     actions);
}

void ChangeRun::AskForQuery(const std::vector<MemberId>& members,
                            RunActions& actions) {
  for (const MemberId& member : members) {
    const bool host_asked = std::any_of(
        this->asked.begin(), this->asked.end(),
        [&](const MemberId& other) { return other.host == member.host; });
    if (!host_asked) {
      // Whatever incarnation runs there tells most.
      this->asked.insert(member);
      actions.send.push_back({member, QueryRequest{.to = {member.host}}});
    }
  }
}

void ChangeRun::AskToPromise(const std::vector<MemberId>& members,
                             RunActions& actions) {
  Ballot held;
  if (this->options.known.has_value()) {
    held = this->options.known->ballot;
  }
  for (const MemberId& member : members) {
    if (!this->asked.insert(member).second) {
      continue;
    }
    actions.send.push_back({member, PrepareRequest{.to = member,
                                                   .ballot = this->ballot,
                                                   .held = held,
                                                   .forming = this->forming}});
  }
}

void ChangeRun::SeeValue(const Ballot& ballot,
                         const std::optional<ControlValue>& value) {
  this->highest_round = std::max(this->highest_round, ballot.round);
  if (!value.has_value() || ballot.IsNone()) {
    return;
  }
  if (!this->options.known.has_value() ||
      this->options.known->ballot < ballot) {
    this->options.known = BallotedValue{ballot, *value};
  }
}

void ChangeRun::OnQueryReply(const PrepareReply& reply,
                             TimePoint now,
                             RunActions& actions) {
  if (reply.status != ReplyStatus::kDone) {
    return;
  }
  this->highest_round = std::max(this->highest_round, reply.promised.round);
  this->SeeValue(reply.accepted, reply.value);
  this->answered[reply.from] = reply.accepted;
  if (reply.accepted.IsNone()) {
    this->blank[reply.from.host] = reply.from;
  }
  this->AskForQuery(reply.known_members, actions);
  if (!this->options.known.has_value()) {
    if (this->CanForm()) {
      this->StartPrepare(now, actions);
    }
    return;
  }
  if (this->options.transform) {
    // A blank replica says nothing about the value known from before.
    if (!reply.accepted.IsNone()) {
      this->StartPrepare(now, actions);
    }
    return;
  }
  // A read is answered without any promise when a quorum has accepted one and
  // the same ballot: that value is chosen, and had a later one been chosen
  // before this read began, some replica of the quorum would have shown it.
  const Membership& members = this->options.known->value.members;
  if (members.IsQuorum(this->HoldersOfKnown())) {
    this->Finish({.outcome = {.result = ChangeResult::kAccepted,
                              .version = this->options.known->value.version},
                  .chosen = this->options.known});
    return;
  }
  this->AskForQuery(members.Everyone(), actions);
  if (this->answered.size() >= this->asked.size()) {
    this->StartPrepare(now, actions);
    return;
  }
  if (members.IsQuorum(this->Answered())) {
    // Hosts that are down would use up the whole attempt.
    this->phase_end =
        std::min(this->phase_end, now + this->options.undecided_wait);
  }
}

void ChangeRun::OnPromise(const PrepareReply& reply,
                          TimePoint now,
                          RunActions& actions) {
  if (reply.status != ReplyStatus::kDone) {
    this->OnRefusal(reply.from, reply.status, reply.promised, now);
    return;
  }
  this->SeeValue(reply.accepted, reply.value);
  this->answered[reply.from] = reply.accepted;
  if (this->options.known.has_value()) {
    this->forming = false;
    this->AskToPromise(this->options.known->value.members.Everyone(), actions);
  }
  this->TryPropose(this->options.wait_for_joining, now, actions);
}

bool ChangeRun::TryPropose(bool wait_for_joining,
                           TimePoint now,
                           RunActions& actions) {
  const std::set<MemberId> promised = this->Answered();
  ControlValue value;
  if (this->options.known.has_value()) {
    value = this->options.known->value;
    if (!value.members.IsQuorum(promised) ||
        (wait_for_joining &&
         this->IsWaitingForJoining(value.members, promised))) {
      return false;
    }
  } else {
    value.members = {.epoch = 1, .current = this->FirstMembers()};
    if (!AllIn(value.members.current, promised)) {
      return false;
    }
  }
  const std::set<MemberId> holders = this->HoldersOfKnown();
  this->proposed_outcome = {.result = ChangeResult::kAccepted,
                            .version = value.version};
  if (this->options.transform) {
    this->proposed_outcome = this->options.transform(value, holders);
  }
  if (this->options.known.has_value() && value == this->options.known->value &&
      this->IsChosenEverywhereNeeded(holders)) {
    this->Finish(
        {.outcome = this->proposed_outcome, .chosen = this->options.known});
    return true;
  }
  this->Propose(std::move(value), now, actions);
  return true;
}

void ChangeRun::Propose(ControlValue value,
                        TimePoint now,
                        RunActions& actions) {
  this->EnterPhase(Phase::kAccept, now + this->options.attempt_timeout);
  this->accepted_by.clear();
  this->refused.clear();
  for (const MemberId& member : value.members.Everyone()) {
    actions.send.push_back(
        {member,
         AcceptRequest{.to = member, .ballot = this->ballot, .value = value}});
  }
  this->proposed = std::move(value);
}

void ChangeRun::OnRefusal(const MemberId& from,
                          ReplyStatus status,
                          const Ballot& promised,
                          TimePoint now) {
  this->highest_round = std::max(this->highest_round, promised.round);
  if (status == ReplyStatus::kWrongMember) {
    // Another incarnation answers for the host; the one that was asked stays
    // silent for ever, which the phase's end takes care of.
    return;
  }
  this->refused.insert(from);
  // Whoever has the higher ballot is about to decide the value. Another vote
  // would displace that one; a query shows its end.
  this->query_first = this->query_first || !this->options.transform;
  const ControlValue* value = nullptr;
  if (this->phase == Phase::kAccept) {
    value = &*this->proposed;
  } else if (this->options.known.has_value()) {
    value = &this->options.known->value;
  }
  if (value == nullptr || this->forming) {
    this->StartBackoff(now);
    return;
  }
  std::set<MemberId> left;
  for (const MemberId& member : value->members.Everyone()) {
    if (!this->refused.contains(member)) {
      left.insert(member);
    }
  }
  if (!value->members.IsQuorum(left)) {
    this->StartBackoff(now);
  }
}

void ChangeRun::Finish(RunResult result) {
  this->phase = Phase::kDone;
  this->run_result = std::move(result);
}

RunActions ChangeRun::Close(RunActions actions) const {
  if (this->phase != Phase::kDone) {
    actions.wake_at = this->phase_end;
  }
  return actions;
}

bool ChangeRun::CanForm() const {
  return !this->options.first_hosts.empty() &&
         this->FirstMembers().size() == this->options.first_hosts.size();
}

std::vector<MemberId> ChangeRun::FirstMembers() const {
  std::vector<MemberId> members;
  for (const HostId& host : this->options.first_hosts) {
    const auto found = this->blank.find(host);
    if (found != this->blank.end()) {
      members.push_back(found->second);
    }
  }
  return members;
}

std::set<MemberId> ChangeRun::Answered() const {
  std::set<MemberId> members;
  for (const auto& [member, accepted] : this->answered) {
    members.insert(member);
  }
  return members;
}

std::set<MemberId> ChangeRun::HoldersOfKnown() const {
  std::set<MemberId> holders;
  for (const auto& [member, accepted] : this->answered) {
    if (this->options.known.has_value() &&
        accepted == this->options.known->ballot) {
      holders.insert(member);
    }
  }
  return holders;
}

// In the later phases the direction is settled, and a joining member may be
// gone for good.
bool ChangeRun::IsWaitingForJoining(const Membership& members,
                                    const std::set<MemberId>& promised) const {
  return members.phase == MembershipPhase::kJoining &&
         !AllIn(members.Joining(), promised);
}

bool ChangeRun::IsChosenEverywhereNeeded(
    const std::set<MemberId>& holders) const {
  const Membership& members = this->options.known->value.members;
  return members.IsQuorum(holders) && AllIn(members.Joining(), holders);
}

}  // namespace knapweedroad
