// Makes the attempts of one process: ballots that are never used twice, and
// what earlier runs have seen.
//
//   Proposer proposer({.id = random_number, .first_hosts = hosts,
//                      .backoff = hook});
//   ChangeRun run = proposer.MakeChange(request, deadline);
//   ...
//   proposer.Learn(run);

#ifndef KNAPWEEDROAD_CONTROL_PROPOSER_H_
#define KNAPWEEDROAD_CONTROL_PROPOSER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/control/change_run.h"
#include "knapweedroad/control/membership_change.h"

namespace knapweedroad {

struct ProposerOptions {
  // Random and new in each life of the process.
  uint64_t id = 0;
  // See ChangeRunOptions.
  std::vector<HostId> first_hosts;
  std::function<Duration(int attempt)> backoff;
  Duration attempt_timeout = std::chrono::milliseconds(500);
};

// Outlives the runs it makes, and stays where it is while one lives.
class Proposer {
 public:
  explicit Proposer(ProposerOptions options);

  ChangeRun MakeChange(ChangeRequest request, TimePoint deadline);
  ChangeRun MakeRead(TimePoint deadline);
  // One step of a change of members; null: carry on with a running one.
  // Repeat while the chosen members aren't stable.
  ChangeRun MakeMembershipStep(std::optional<MembershipRequest> request,
                               TimePoint deadline);

  // Takes over what a run has seen; after each run.
  void Learn(const ChangeRun& run);

  // Takes over a value that is known to have been chosen.
  void Learn(const BallotedValue& chosen);

  // Hosts of known members, to ask while no value is known; from then on no
  // membership is formed here.
  void AskAlso(std::vector<HostId> hosts);

  // The newest accepted value seen.
  const std::optional<BallotedValue>& known() const { return this->newest; }

 private:
  ChangeRun MakeRun(ControlTransform transform,
                    TimePoint deadline,
                    bool wait_for_joining);

  ProposerOptions options;
  // Of the last ballot made; runs draw theirs from here.
  uint64_t last_round = 0;
  uint64_t chosen_epoch = 0;
  std::vector<HostId> ask_hosts;
  std::optional<BallotedValue> newest;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_PROPOSER_H_
