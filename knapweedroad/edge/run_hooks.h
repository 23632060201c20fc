// How the run of a caller's request asks the host for targets, extra attempts
// and shards to skip.
//
//   RunHooks hooks = MakeRunHooks({.parts = parts, .gathers = gathers, ...});

#ifndef KNAPWEEDROAD_EDGE_RUN_HOOKS_H_
#define KNAPWEEDROAD_EDGE_RUN_HOOKS_H_

#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/overload/waiting_request.h"
#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {

class RequestGathers;
struct EntryParts;

struct RunHooksOptions {
  EntryParts& parts;
  // These must outlive the hooks.
  const RequestGathers& gathers;
  const std::vector<ServiceId>& services;
  // The request as it competes with others for targets.
  WaitingRequest waiter;
  // Whether the caller has most of the latency target left. Parts that are late
  // for a caller who comes back say nothing of their shards.
  bool is_fresh = true;
};

RunHooks MakeRunHooks(const RunHooksOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_RUN_HOOKS_H_
