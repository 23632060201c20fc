#include "knapweedroad/registry/follow_plan.h"

#include <algorithm>
#include <tuple>

namespace knapweedroad {

namespace {

bool IsCurrent(const FollowCandidate* candidate) {
  return candidate->is_live && candidate->has_quorum;
}

}  // namespace

std::vector<HostId> PlanFollowing(std::span<const FollowCandidate> known,
                                  const FollowPlanOptions& options) {
  std::vector<const FollowCandidate*> order;
  for (const FollowCandidate& candidate : known) {
    order.push_back(&candidate);
  }
  std::ranges::sort(order, {}, [&](const FollowCandidate* candidate) {
    return std::tuple(candidate->failed_lately, candidate->zone != options.zone,
                      candidate->rank);
  });
  std::vector<HostId> followed;
  bool has_quorum = false;
  for (const FollowCandidate* const candidate : order) {
    followed.push_back(candidate->host);
    const bool is_enough =
        candidate->is_live && candidate->hears_all && !candidate->failed_lately;
    has_quorum |= IsCurrent(candidate);
    const size_t most = has_quorum ? options.most : options.most_without_quorum;
    if (is_enough || followed.size() >= most) {
      break;
    }
  }
  const auto current = std::ranges::find_if(order, IsCurrent);
  if (!has_quorum && current != order.end()) {
    followed.push_back((*current)->host);
  }
  return followed;
}

}  // namespace knapweedroad
