// This host's way to the agreed value: changes, reads and moves of replicas.
// Any host has one, with or without a disk.
//
//   ControlService control(runtime, {.self = name, .first_hosts = hosts,
//                                    .replica = replica, .call = call,
//                                    .on_chosen = Distribute});
//   ChangeOutcome outcome = control.Change(request, Runtime::Now() + 5s);

#ifndef KNAPWEEDROAD_HOST_CONTROL_SERVICE_H_
#define KNAPWEEDROAD_HOST_CONTROL_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/control/change_run.h"
#include "knapweedroad/control/membership_change.h"

namespace knapweedroad {

class ControlReplica;
class Runtime;

// Sends a message to the replica on another host and waits for its reply; the
// error is for the log only.
using ControlCall = std::function<tl::expected<std::string, std::string>(
    const HostId& host,
    const std::string& message,
    TimePoint deadline)>;

struct ControlServiceOptions {
  HostId self;
  // The first members, the same on every host; see ChangeRunOptions.
  std::vector<HostId> first_hosts;
  // This host's own; null where it has no disk.
  std::shared_ptr<ControlReplica> replica;
  ControlCall call;
  // Called with each value that this host finds to be chosen, in any order:
  // compare versions.
  std::function<void(const ControlValue& value)> on_chosen;
  Duration attempt_timeout = std::chrono::milliseconds(500);
};

// What the replicas hold, as told without a vote.
struct ControlPeek {
  // The value that a quorum of its own members had accepted when they were
  // asked: chosen, and no newer one was when Peek() began.
  std::optional<BallotedValue> chosen;
  // A quorum of the members of the newest value that was seen answered, whether
  // or not they had accepted that value.
  bool has_quorum = false;
  // Replicas that answered.
  std::set<MemberId> answering;
  // Some replica that answered holds a value or knows of members.
  bool is_formed = false;
  // The newest accepted value that is known, chosen or not, and the replicas
  // that answered that they have accepted just it.
  std::optional<BallotedValue> newest;
  std::set<MemberId> holding;
};

// A move of replicas as an operator asks for it, by the names of hosts.
struct MoveRequest {
  ChangeAuthor author;
  std::optional<HostId> leaving;
  // Whatever replica that host runs now.
  std::optional<HostId> joining;
  bool give_up = false;
  // See MembershipRequest.
  std::optional<uint64_t> epoch;
};

class ControlService {
 public:
  ControlService(Runtime& runtime, ControlServiceOptions options);
  // Blocks the calling fiber until messages of ended runs have their replies
  // or time out, at most `attempt_timeout` after the last run: they use `call`.
  ~ControlService();

  // Each blocks the calling fiber until its answer or the deadline; those of
  // one host run one after the other. kUnknown at the deadline: the same
  // request, sent again through any host, gets the truth.
  ChangeOutcome Change(ChangeRequest request, TimePoint deadline);

  // The value in force, or nothing: a minority never answers.
  std::optional<ControlValue> Read(TimePoint deadline);

  // As Read(), but no replica writes to its disk for it, and it gives up where
  // a change is under way. Blocks until all have answered or the deadline; with
  // `soon`, only until the value is known, or for kUndecidedWait after a quorum
  // has answered that doesn't hold one value.
  ControlPeek Peek(TimePoint deadline, bool soon = false);

  // Adds, removes or replaces a replica and returns once the move is over;
  // an interrupted one goes on with the same request through any host.
  ChangeOutcome Move(const MoveRequest& request, TimePoint deadline);

  // Carries on a change of members that another host has left half done.
  ChangeOutcome CarryOn(TimePoint deadline);

  // Takes over what Peek() has found chosen.
  void Learn(const BallotedValue& chosen);

  // Hosts that may run a replica, to be asked too. Not while a first
  // membership may have to be formed here: see Proposer::AskAlso.
  void AskHosts(const std::vector<HostId>& hosts);

  // Members from a value that reached this host by distribution: whom to ask
  // when the first hosts have all been replaced.
  void Learn(const Membership& members);

  // The newest value seen by this host's own runs, chosen or not.
  const std::optional<BallotedValue>& known() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONTROL_SERVICE_H_
