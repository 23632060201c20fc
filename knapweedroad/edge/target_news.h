// What a control host tells of targets, on its way into the load balancer.

#ifndef KNAPWEEDROAD_EDGE_TARGET_NEWS_H_
#define KNAPWEEDROAD_EDGE_TARGET_NEWS_H_

#include <cstddef>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LoadBalancer;
struct WatchReply;

// The lines that were logged about targets within the last second. At a start
// of many hosts each of them learns of each target, one by one.
struct TargetLineCount {
  TimePoint second_began;
  size_t targets = 0;
  // Targets without a line of their own, not logged yet.
  size_t summarized = 0;
};

// Logs a line for each target that has changed; beyond a few in a second, one
// line for the rest: the control host's log has a line for each.
void LearnTargets(LoadBalancer& balancer,
                  const HostId& from,
                  const WatchReply& reply,
                  TargetLineCount& lines,
                  TimePoint now);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_NEWS_H_
