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
    const ServiceCount count = balancer.Count(service, now);
    text += service.str() + "(leaving:" + std::to_string(count.leaving) +
            ",out:" + std::to_string(count.out) +
            ",silent:" + std::to_string(count.silent) +
            ",ejected:" + std::to_string(count.ejected) +
            ",cold:" + std::to_string(count.cold) +
            ",usable:" + std::to_string(count.usable) + ") ";
  }
  return text;
}

}  // namespace knapweedroad
