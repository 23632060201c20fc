// What replicas hold, put together from their answers to one round of queries.
//
//   ReplicaSurvey survey(proposer.known());
//   survey.OnReply(reply);   // as replies come
//   if (survey.IsChosen()) { Use(*survey.newest()); }

#ifndef KNAPWEEDROAD_CONTROL_REPLICA_SURVEY_H_
#define KNAPWEEDROAD_CONTROL_REPLICA_SURVEY_H_

#include <map>
#include <optional>
#include <set>

#include "knapweedroad/control/ballot.h"
#include "knapweedroad/control/change_run.h"
#include "knapweedroad/control/member_id.h"

namespace knapweedroad {

struct PrepareReply;

class ReplicaSurvey {
 public:
  // `known` is a value that some replica has accepted, seen before.
  explicit ReplicaSurvey(std::optional<BallotedValue> known);

  void OnReply(const PrepareReply& reply);

  // The newest accepted value seen, chosen or not.
  const std::optional<BallotedValue>& newest() const {
    return this->newest_seen;
  }

  // Whether a quorum of the newest value's members has accepted it. No newer
  // value had been chosen when they were asked: its quorum would share a member
  // with theirs.
  bool IsChosen() const;

  // Whether a quorum of the newest value's members answered, whatever they have
  // accepted.
  bool HasQuorum() const;

  // Whether some replica holds a value or knows of members.
  bool is_formed() const { return this->formed; }

  // The replicas that answered that they have accepted the newest value.
  std::set<MemberId> Holding() const;

  // The replicas that answered.
  std::set<MemberId> Answering() const;

 private:
  std::optional<BallotedValue> newest_seen;
  // What each replica that answered has accepted.
  std::map<MemberId, Ballot> held;
  bool formed = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_REPLICA_SURVEY_H_
