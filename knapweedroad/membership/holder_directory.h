// Which host to go through for a target, from what the hosts claim.
//
//   if (view.OnHeartbeat(heartbeat, now)) directory.OnHeartbeat(heartbeat,
//   now); std::optional<HostId> holder = directory.HolderOf(target, now);
//
// It may be wrong for a moment; the host that is asked then says that it isn't
// the holder. Of two claims the later one counts: each says for how long its
// host has held the target, so that a claim that was delayed on its way doesn't
// replace the one of its successor.

#ifndef KNAPWEEDROAD_MEMBERSHIP_HOLDER_DIRECTORY_H_
#define KNAPWEEDROAD_MEMBERSHIP_HOLDER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct Heartbeat;

class HolderDirectory {
 public:
  struct Options {
    // A claim that was not repeated for this long is over.
    Duration claim_timeout = std::chrono::seconds(2);
  };

  explicit HolderDirectory(const Options& options) : options(options) {}

  // Of one that `HostView` took: later ones of the same host only. A target
  // that the host doesn't name any more is no longer its own.
  void OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  // The host says that it isn't the holder, or it has gone.
  void RemoveClaim(const TargetId& target, const HostId& host);
  void RemoveHost(const HostId& host);

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
