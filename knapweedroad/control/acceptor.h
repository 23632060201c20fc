// A control replica's vote: what it has promised and accepted.
//
//   Acceptor acceptor(own_id);
//   for (const AcceptorRecord& record : stored) acceptor.Recover(record);
//   auto step = acceptor.OnPrepare(request);
//   if (step.to_sync) store.Append(*step.to_sync);  // synced first,
//   Send(step.reply);                               // then answered

#ifndef KNAPWEEDROAD_CONTROL_ACCEPTOR_H_
#define KNAPWEEDROAD_CONTROL_ACCEPTOR_H_

#include <optional>
#include <vector>

#include "knapweedroad/control/acceptor_record.h"
#include "knapweedroad/control/control_messages.h"
#include "knapweedroad/control/member_id.h"

namespace knapweedroad {

// A reply and what must be on the disk before it is sent.
//
// Guards against a forgotten vote: a replica that answers, crashes and comes
// back without the record votes a second time, and an accepted change is
// replaced. No reply of any kind may leave between a step and the end of its
// sync, queries included; after a failed sync none may ever leave again.
template <typename Reply>
struct AcceptorStep {
  Reply reply;
  std::optional<AcceptorRecord> to_sync;
};

class Acceptor {
 public:
  explicit Acceptor(MemberId self);

  // Takes a stored record, oldest first. Only before the first request.
  void Recover(const AcceptorRecord& record);

  // Members of a chosen value that reached this host by another way. Only
  // used to point askers there, and to refuse forming a second membership.
  void Learn(const Membership& members);

  PrepareReply OnQuery(const QueryRequest& request) const;
  AcceptorStep<PrepareReply> OnPrepare(const PrepareRequest& request);
  AcceptorStep<AcceptReply> OnAccept(const AcceptRequest& request);

  // All of it as one record, for a new file.
  AcceptorRecord Snapshot() const;

  const MemberId& id() const { return this->state.self; }
  const AcceptorRecord& current() const { return this->state; }

 private:
  PrepareReply Describe(const Ballot& ballot, const Ballot& held) const;

  AcceptorRecord state;
  std::optional<Membership> learned;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_ACCEPTOR_H_
