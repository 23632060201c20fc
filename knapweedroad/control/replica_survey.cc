#include "knapweedroad/control/replica_survey.h"

#include <utility>

#include "knapweedroad/control/control_messages.h"

namespace knapweedroad {

ReplicaSurvey::ReplicaSurvey(std::optional<BallotedValue> known)
    : newest_seen(std::move(known)) {}

void ReplicaSurvey::OnReply(const PrepareReply& reply) {
  this->held[reply.from] = reply.accepted;
  this->formed =
      this->formed || !reply.accepted.IsNone() || !reply.known_members.empty();
  const bool is_newer = !this->newest_seen.has_value() ||
                        this->newest_seen->ballot < reply.accepted;
  if (reply.value.has_value() && is_newer) {
    this->newest_seen = BallotedValue{reply.accepted, *reply.value};
  }
}

bool ReplicaSurvey::IsChosen() const {
  if (!this->newest_seen.has_value()) {
    return false;
  }
  for (const auto& [member, ballot] : this->held) {
    if (this->newest_seen->ballot < ballot) {
      return false;
    }
  }
  return this->newest_seen->value.members.IsQuorum(this->Holding());
}

std::set<MemberId> ReplicaSurvey::Holding() const {
  std::set<MemberId> holding;
  for (const auto& [member, ballot] : this->held) {
    if (this->newest_seen.has_value() && ballot == this->newest_seen->ballot) {
      holding.insert(member);
    }
  }
  return holding;
}

bool ReplicaSurvey::HasQuorum() const {
  return this->newest_seen.has_value() &&
         this->newest_seen->value.members.IsQuorum(this->Answering());
}

std::set<MemberId> ReplicaSurvey::Answering() const {
  std::set<MemberId> answering;
  for (const auto& [member, ballot] : this->held) {
    answering.insert(member);
  }
  return answering;
}

}  // namespace knapweedroad
