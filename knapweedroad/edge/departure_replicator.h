// Has a quorum of the control replicas store departures of targets before they
// are acknowledged, so that these outlive the losses that a configuration does.
//
//   DepartureReplicator replicator(runtime, {.self = own_member, ...});
//   if (replicator.Replicate(record, Runtime::Now() + 900ms)) Acknowledge();

#ifndef KNAPWEEDROAD_EDGE_DEPARTURE_REPLICATOR_H_
#define KNAPWEEDROAD_EDGE_DEPARTURE_REPLICATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/control/member_id.h"
#include "knapweedroad/control/membership.h"
#include "knapweedroad/registry/target_record.h"

namespace knapweedroad {

class Runtime;

struct DepartureReplicatorOptions {
  MemberId self;
  // The newest members known here.
  std::function<Membership()> members;
  // Stores departures on this host's disk. Blocks the calling fiber; false
  // where the disk refuses.
  std::function<bool(const std::vector<TargetRecord>& departures)> save;
  // Sends a packed DepartureCall; blocks the calling fiber until the packed
  // DepartureReply or the deadline.
  std::function<tl::expected<std::string, std::string>(const HostId& host,
                                                       const std::string& call,
                                                       TimePoint deadline)>
      call;
};

class DepartureReplicator {
 public:
  DepartureReplicator(Runtime& runtime, DepartureReplicatorOptions options);
  ~DepartureReplicator();

  // Blocks the calling fiber until a quorum has the departure on its disks
  // (true) or the deadline. False: it may still be stored by some. Departures
  // that come within some milliseconds of each other are stored together.
  bool Replicate(const TargetRecord& departure, TimePoint deadline);

  // Calls no hook any more; those that wait get false.
  void Stop();

  // Rounds of messages so far, and departures in them.
  uint64_t rounds() const;
  uint64_t departures() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_DEPARTURE_REPLICATOR_H_
