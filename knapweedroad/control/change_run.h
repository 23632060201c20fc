// One change or read, from its first message to its answer.
//
//   ChangeRun run({.first_ballot = proposer.NextBallot(), ...});
//   Send(run.Start(now));
//   Send(run.OnPrepareReply(reply, now));   // as replies come
//   Send(run.OnWake(now));                  // when `wake_at` has come
//   if (run.result()) Answer(*run.result());
//
// The run prepares a ballot at the members of the value it knows, picks the
// value of the highest accepted ballot among the promises, transforms it, and
// asks the members to accept. That, with a read being a transformation that
// does nothing, and joint majorities while members change, is the scheme of
// "Best of both worlds: Raft's joint consensus + Single Decree Paxos"; here
// the members are a part of the value itself (docs/design/agreement.md).

#ifndef KNAPWEEDROAD_CONTROL_CHANGE_RUN_H_
#define KNAPWEEDROAD_CONTROL_CHANGE_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/control/ballot.h"
#include "knapweedroad/control/control_messages.h"
#include "knapweedroad/control/control_value.h"

namespace knapweedroad {

// Enough for the reply of a replica in another region.
inline constexpr Duration kUndecidedWait = std::chrono::milliseconds(100);

// Changes the picked value and says what the answer is once the changed value
// has been chosen. `holders` reported to hold exactly the picked value. May run
// more than once, each time on another picked value.
using ControlTransform =
    std::function<ChangeOutcome(ControlValue& value,
                                const std::set<MemberId>& holders)>;

// A value and the ballot under which some replica accepted it.
struct BallotedValue {
  Ballot ballot;
  ControlValue value;
};

struct ChangeRunOptions {
  // Null: a read.
  ControlTransform transform;
  // A ballot above `round` that has never been used.
  std::function<Ballot(uint64_t round)> next_ballot;
  // How long to wait before attempt number `attempt` (from 1), after a higher
  // ballot or silence; random, so that two proposers don't block each other
  // for ever.
  std::function<Duration(int attempt)> backoff;
  TimePoint deadline;
  // How long one attempt waits for replies.
  Duration attempt_timeout = std::chrono::milliseconds(500);
  // How long a read waits for the other replicas once a quorum has answered and
  // doesn't hold one value; then it takes a vote.
  Duration undecided_wait = kUndecidedWait;
  // A value some replica accepted, seen before: saves the query.
  std::optional<BallotedValue> known;
  // In MembershipPhase::kJoining, hold the proposal back until the joining
  // members have answered too, for one attempt's time at most: the phase is
  // left forward only once they hold the value.
  bool wait_for_joining = false;
  // Hosts to ask while no value is known.
  std::vector<HostId> ask_hosts;
  // Hosts of the first membership, the same on every host of the deployment:
  // it is formed once all of them answer and all are blank. Empty: never.
  std::vector<HostId> first_hosts;
};

struct Envelope {
  MemberId to;
  ControlMessage message;
};

struct RunActions {
  std::vector<Envelope> send;
  // Call OnWake() then; absent once there is a result.
  std::optional<TimePoint> wake_at;
};

struct RunResult {
  // A read is kAccepted with the version read, or kUnknown.
  ChangeOutcome outcome;
  // The value known to be chosen; absent if the outcome is kUnknown for want
  // of a quorum.
  std::optional<BallotedValue> chosen;
};

class ChangeRun {
 public:
  explicit ChangeRun(ChangeRunOptions options);

  // Once, first.
  RunActions Start(TimePoint now);

  // Replies may come late, twice and in any order.
  RunActions OnPrepareReply(const PrepareReply& reply, TimePoint now);
  RunActions OnAcceptReply(const AcceptReply& reply, TimePoint now);
  RunActions OnWake(TimePoint now);

  const std::optional<RunResult>& result() const { return this->run_result; }

  // The newest accepted value seen, chosen or not.
  const std::optional<BallotedValue>& known() const {
    return this->options.known;
  }

 private:
  enum class Phase : uint8_t { kQuery, kPrepare, kAccept, kBackoff, kDone };

  void StartQuery(TimePoint now, RunActions& actions);
  void StartPrepare(TimePoint now, RunActions& actions);
  void StartBackoff(TimePoint now);
  void NextAttempt(TimePoint now, RunActions& actions);
  void EnterPhase(Phase phase, TimePoint end);
  void AskForQuery(const std::vector<MemberId>& members, RunActions& actions);
  void AskToPromise(const std::vector<MemberId>& members, RunActions& actions);
  void OnQueryReply(const PrepareReply& reply,
                    TimePoint now,
                    RunActions& actions);
  void OnPromise(const PrepareReply& reply, TimePoint now, RunActions& actions);
  // Whether there is a quorum of promises and the proposal was made.
  bool TryPropose(bool wait_for_joining, TimePoint now, RunActions& actions);
  void Propose(ControlValue value, TimePoint now, RunActions& actions);
  void OnRefusal(const MemberId& from,
                 ReplyStatus status,
                 const Ballot& promised,
                 TimePoint now);
  void SeeValue(const Ballot& ballot, const std::optional<ControlValue>& value);
  void Finish(RunResult result);
  RunActions Close(RunActions actions) const;

  bool CanForm() const;
  std::vector<MemberId> FirstMembers() const;
  // Those that answered this attempt.
  std::set<MemberId> Answered() const;
  std::set<MemberId> HoldersOfKnown() const;
  // Whether the proposal waits for a joining member that hasn't answered.
  bool IsWaitingForJoining(const Membership& members,
                           const std::set<MemberId>& promised) const;
  // Holders are a quorum and no joining member is without the value.
  bool IsChosenEverywhereNeeded(const std::set<MemberId>& holders) const;

  ChangeRunOptions options;
  Phase phase = Phase::kQuery;
  int attempt = 0;
  TimePoint phase_end;
  uint64_t highest_round = 0;
  Ballot ballot;
  std::set<MemberId> asked;
  // Who answered this attempt, and what ballot it had accepted.
  std::map<MemberId, Ballot> answered;
  std::set<MemberId> refused;
  // Blank replicas by host, as the query found them.
  std::map<HostId, MemberId> blank;
  // The last attempt met silence: ask who decides before the next one.
  bool query_first = false;
  bool forming = false;
  std::set<MemberId> accepted_by;
  std::optional<ControlValue> proposed;
  ChangeOutcome proposed_outcome;
  std::optional<RunResult> run_result;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_CHANGE_RUN_H_
