#include "knapweedroad/edge/unserved_services.h"

#include <cstddef>

#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

constexpr size_t kMostNamed = 4;

}  // namespace

std::string DescribeUnserved(const LoadBalancer& balancer,
                             std::span<const ServiceId> services,
                             TimePoint now) {
  std::string text;
  size_t named = 0;
  for (const ServiceId& service : services) {
    if (balancer.IsServed(service, now)) {
      continue;
    }
    if (++named > kMostNamed) {
      return text + "...";
    }
    const TargetCounts counts = balancer.CountTargets(service, now);
    text += service.str() + "(leaving:" + std::to_string(counts.leaving) +
            ",out:" + std::to_string(counts.out_of_service) +
            ",silent:" + std::to_string(counts.silent) +
            ",ejected:" + std::to_string(counts.ejected) +
            ",cold:" + std::to_string(counts.cold) +
            ",usable:" + std::to_string(counts.usable) + ") ";
  }
  return text;
}

}  // namespace knapweedroad
