#ifndef KNAPWEEDROAD_MEMBERSHIP_HOLDER_DIRECTORY_H_
#define KNAPWEEDROAD_MEMBERSHIP_HOLDER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct Heartbeat;

// Records which host holds each target, from the claims in the hosts'
// heartbeats. Requests for a target are sent through its holder.
//
//   if (view.OnHeartbeat(heartbeat, now)) {
//     directory.OnHeartbeat(heartbeat, now);
//   }
//   std::optional<HostId> holder = directory.HolderOf(target, now);
//
// The directory may be out of date for a short time. A host that receives a
// request for a target that it does not hold rejects the request.
//
// If several hosts claim a target, the one that started to hold it last is the
// holder. Each claim states for how long its host has held the target, so a
// delayed claim of a former holder does not replace that of its successor.
class HolderDirectory {
 public:
  struct Options {
    // A claim expires if no heartbeat has repeated it for this long.
    Duration claim_timeout = std::chrono::seconds(2);
  };

  explicit HolderDirectory(const Options& options) : options(options) {}

  // Replaces all claims of the heartbeat's host with those in `heartbeat`. Call
  // this only for heartbeats that `HostView::OnHeartbeat()` accepted, which
  // excludes delayed and duplicate ones.
  void OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  // Removes the claim of a host that has replied that it does not hold the
  // target.
  void RemoveClaim(const TargetId& target, const HostId& host);

  // Removes all claims of a host that has shut down.
  void RemoveHost(const HostId& host);

  // Returns the host through which to reach `target`, or std::nullopt if no
  // claim on it is current. A host that holds the target with a majority of its
  // zone is preferred to an isolated one.
  std::optional<HostId> HolderOf(const TargetId& target, TimePoint now) const;

 private:
  struct Claim {
    bool isolated = false;
    TimePoint held_since{};
    TimePoint received_at{};
  };

  Options options;
  std::map<TargetId, std::map<HostId, Claim>> claims;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_HOLDER_DIRECTORY_H_
