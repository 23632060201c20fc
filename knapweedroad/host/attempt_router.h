// Takes an attempt to the host that holds its target's lease: this one or
// another.
//
//   AttemptRouter router({.holder_of = ..., .local = ..., .peer = ...});
//   AttemptReply reply = router.Run(call, deadline);

#ifndef KNAPWEEDROAD_HOST_ATTEMPT_ROUTER_H_
#define KNAPWEEDROAD_HOST_ATTEMPT_ROUTER_H_

#include <functional>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/wire/attempt_call.h"
#include "knapweedroad/wire/attempt_reply.h"

namespace knapweedroad {

class PeerClient;
class TargetLink;

struct AttemptRouterOptions {
  // The host that holds the target's lease as far as is known; empty: none.
  std::function<HostId(const TargetId&)> holder_of;
  // The target's link on this host, or null.
  std::function<TargetLink*(const TargetId&)> local;
  // The connection to another host, or null for this one.
  std::function<PeerClient*(const HostId&)> peer;
};

class AttemptRouter {
 public:
  explicit AttemptRouter(AttemptRouterOptions options);

  // Blocks the calling fiber until the attempt has ended or its deadline has
  // come. `call.remaining_ns` is set here.
  AttemptReply Run(AttemptCall call, TimePoint deadline);

  // Passes a cancellation on; doesn't wait for it to arrive.
  void Cancel(const AttemptId& attempt, const TargetId& target);

 private:
  AttemptReply RunAt(PeerClient& peer, AttemptCall call, TimePoint deadline);

  AttemptRouterOptions options;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_ATTEMPT_ROUTER_H_
