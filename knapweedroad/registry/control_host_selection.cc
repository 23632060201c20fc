#include "knapweedroad/registry/control_host_selection.h"

#include <algorithm>
#include <tuple>

namespace knapweedroad {

namespace {

bool IsLiveWithQuorum(const ControlHostCandidate* candidate,
                      bool needs_confirmation) {
  return candidate->is_live && candidate->has_quorum &&
         (candidate->is_confirmed || !needs_confirmation);
}

}  // namespace

std::vector<HostId> SelectControlHosts(
    std::span<const ControlHostCandidate> candidates,
    const ControlHostSelectionOptions& options) {
  std::vector<const ControlHostCandidate*> order;
  for (const ControlHostCandidate& candidate : candidates) {
    order.push_back(&candidate);
  }
  std::ranges::sort(order, {}, [&](const ControlHostCandidate* candidate) {
    return std::tuple(candidate->failed_recently,
                      candidate->zone != options.zone, candidate->rank);
  });
  const bool needs_confirmation =
      std::ranges::any_of(candidates, &ControlHostCandidate::is_unconfirmed);
  std::vector<HostId> selected;
  bool has_quorum = false;
  for (const ControlHostCandidate* const candidate : order) {
    selected.push_back(candidate->host);
    const bool is_sufficient = candidate->is_live && candidate->has_full_view &&
                               !candidate->failed_recently &&
                               (candidate->is_confirmed || !needs_confirmation);
    has_quorum |= IsLiveWithQuorum(candidate, needs_confirmation);
    const size_t max_selected =
        has_quorum ? options.max_selected : options.max_selected_without_quorum;
    if (is_sufficient || selected.size() >= max_selected) {
      break;
    }
  }
  const auto with_quorum =
      std::ranges::find_if(order, [&](const ControlHostCandidate* candidate) {
        return IsLiveWithQuorum(candidate, needs_confirmation);
      });
  if (!has_quorum && with_quorum != order.end()) {
    selected.push_back((*with_quorum)->host);
  }
  return selected;
}

}  // namespace knapweedroad
