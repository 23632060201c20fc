// Keeps the set of control replicas in order from one control host: looks again
// and again at what all replicas hold, and acts on what that calls for.
//
//   ReplicaMembership membership({.service = service, ...});
//   membership.Run();   // in a fiber, until Stop()

#ifndef KNAPWEEDROAD_EDGE_REPLICA_MEMBERSHIP_H_
#define KNAPWEEDROAD_EDGE_REPLICA_MEMBERSHIP_H_

#include <functional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/control/member_id.h"
#include "knapweedroad/control/membership_controller.h"
#include "knapweedroad/host/control_service.h"

namespace knapweedroad {

struct ReplicaMembershipOptions {
  // This host's replica.
  MemberId self;
  // The whole system starts for the first time: a membership may be formed.
  bool first_start = false;
  // See MembershipControllerOptions.
  Duration catch_up = std::chrono::seconds(4);
  // Outlives Run().
  ControlService& service;
  // All control hosts known, this one among them.
  std::function<std::vector<HostId>()> hosts;
  // Whether this host knows an agreed version.
  std::function<bool()> has_version;
  // A quorum has answered a question asked at this time.
  std::function<void(TimePoint asked)> on_quorum;
  std::function<void(uint64_t version, const std::string& text)> on_chosen;
};

class ReplicaMembership {
 public:
  explicit ReplicaMembership(ReplicaMembershipOptions options);

  // Blocks the calling fiber until Stop(), and then for one round at the most.
  void Run();
  void Stop() { this->is_stopped = true; }

  // Stops, and has this host's replica leave the members where enough others
  // are left. Blocks the calling fiber until that is done or the deadline.
  void Leave(TimePoint deadline);

  // What the last question to all replicas found, as KeepForReport() leaves it.
  const ControlPeek& last_look() const { return this->newest_look; }

 private:
  // Asks all replicas, and takes over what is chosen.
  MemberView Look(TimePoint deadline);
  // There is a version, but this host hasn't learned any since its start.
  bool LooksForFirstVersion() const;
  // Logs when a quorum is found or lost.
  void ReportQuorum(const ControlPeek& peek);
  void Act(const MemberAction& action, TimePoint deadline);

  ReplicaMembershipOptions options;
  MembershipController controller;
  ControlPeek newest_look;
  bool had_quorum = false;
  bool is_stopped = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_REPLICA_MEMBERSHIP_H_
