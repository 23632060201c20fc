#include "knapweedroad/routing/outlier_lists.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

// A control host replies once a second at the least; its list counts for this
// long after the last reply.
constexpr Duration kListMemory = std::chrono::seconds(4);

}  // namespace

bool OutlierLists::Learn(const HostId& control_host,
                         std::optional<std::vector<TargetTrouble>> troubles,
                         TimePoint now) {
  List& list = this->lists[control_host];
  list.heard = now;
  if (!troubles) {
    return false;
  }
  list.troubles = *std::move(troubles);
  this->ForgetOld(now);
  return true;
}

bool OutlierLists::ForgetOld(TimePoint now) {
  return std::erase_if(this->lists, [now](const auto& entry) {
           return now - entry.second.heard > kListMemory;
         }) > 0;
}

std::map<TargetId, TargetTrouble> OutlierLists::Worst() const {
  std::map<TargetId, TargetTrouble> worst;
  for (const auto& [host, list] : this->lists) {
    for (const TargetTrouble& trouble : list.troubles) {
      TargetTrouble& held =
          worst.emplace(trouble.target, trouble).first->second;
      held.failed = std::max(held.failed, trouble.failed);
      held.slowdown = std::max(held.slowdown, trouble.slowdown);
    }
  }
  return worst;
}

}  // namespace knapweedroad
