// Services that no target can serve now, for the log.

#ifndef KNAPWEEDROAD_EDGE_UNSERVED_SERVICES_H_
#define KNAPWEEDROAD_EDGE_UNSERVED_SERVICES_H_

#include <span>
#include <string>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LoadBalancer;

// "SERVICE(leaving:0,out:0,...) " for the first few of `services` without a
// usable target: how many of its targets are in which state; "..." for more.
std::string DescribeUnserved(const LoadBalancer& balancer,
                             std::span<const ServiceId> services,
                             TimePoint now);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_UNSERVED_SERVICES_H_
