#include "knapweedroad/control/acceptor.h"

#include <utility>

namespace knapweedroad {

Acceptor::Acceptor(MemberId self) : state{.self = std::move(self)} {}

void Acceptor::Recover(const AcceptorRecord& record) {
  this->state.promised = record.promised;
  this->state.accepted = record.accepted;
  if (record.value.has_value()) {
    this->state.value = record.value;
  }
}

void Acceptor::Learn(const Membership& members) {
  if (!this->learned.has_value() || this->learned->epoch < members.epoch) {
    this->learned = members;
  }
}

PrepareReply Acceptor::Describe(const Ballot& ballot,
                                const Ballot& held) const {
  PrepareReply reply{.from = this->state.self,
                     .ballot = ballot,
                     .promised = this->state.promised,
                     .accepted = this->state.accepted};
  if (this->state.accepted != held) {
    reply.value = this->state.value;
  }
  // Who holds the same value knows its members.
  const bool is_known =
      held == this->state.accepted && this->state.value.has_value() &&
      this->learned.has_value() &&
      this->learned->epoch <= this->state.value->members.epoch;
  if (this->learned.has_value() && !is_known) {
    reply.known_members = this->learned->Everyone();
  }
  return reply;
}

PrepareReply Acceptor::OnQuery(const QueryRequest& request) const {
  if (request.to.incarnation != 0 && request.to != this->state.self) {
    return {.from = this->state.self, .status = ReplyStatus::kWrongMember};
  }
  return this->Describe(Ballot(), request.held);
}

AcceptorStep<PrepareReply> Acceptor::OnPrepare(const PrepareRequest& request) {
  PrepareReply refusal{.from = this->state.self,
                       .ballot = request.ballot,
                       .promised = this->state.promised};
  if (request.to != this->state.self) {
    refusal.status = ReplyStatus::kWrongMember;
    return {.reply = std::move(refusal)};
  }
  if (request.forming && this->learned.has_value()) {
    refusal.status = ReplyStatus::kAlreadyFormed;
    refusal.known_members = this->learned->Everyone();
    return {.reply = std::move(refusal)};
  }
  if (request.ballot < this->state.promised) {
    refusal.status = ReplyStatus::kLowerBallot;
    return {.reply = std::move(refusal)};
  }
  AcceptorStep<PrepareReply> step;
  if (request.ballot != this->state.promised) {
    this->state.promised = request.ballot;
    step.to_sync = AcceptorRecord{.self = this->state.self,
                                  .promised = request.ballot,
                                  .accepted = this->state.accepted};
  }
  step.reply = this->Describe(request.ballot, request.held);
  return step;
}

AcceptorStep<AcceptReply> Acceptor::OnAccept(const AcceptRequest& request) {
  AcceptReply reply{.from = this->state.self,
                    .ballot = request.ballot,
                    .promised = this->state.promised};
  if (request.to != this->state.self) {
    reply.status = ReplyStatus::kWrongMember;
    return {.reply = std::move(reply)};
  }
  if (request.ballot < this->state.promised) {
    reply.status = ReplyStatus::kLowerBallot;
    return {.reply = std::move(reply)};
  }
  if (request.ballot == this->state.accepted) {
    return {.reply = std::move(reply)};
  }
  this->state.promised = request.ballot;
  this->state.accepted = request.ballot;
  this->state.value = request.value;
  reply.promised = request.ballot;
  return {.reply = std::move(reply), .to_sync = this->state};
}

AcceptorRecord Acceptor::Snapshot() const {
  return this->state;
}

}  // namespace knapweedroad
