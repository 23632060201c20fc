// What a control host tells of targets, on its way into the load balancer.

#ifndef KNAPWEEDROAD_EDGE_TARGET_NEWS_H_
#define KNAPWEEDROAD_EDGE_TARGET_NEWS_H_

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LoadBalancer;
struct WatchReply;

// Logs a line for each target that has changed; for many, one line in all: the
// control host's log has a line for each.
void LearnTargets(LoadBalancer& balancer,
                  const HostId& from,
                  const WatchReply& reply,
                  TimePoint now);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_NEWS_H_
