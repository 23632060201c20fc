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
                         std::optional<std::vector<TargetOutlier>> outliers,
                         TimePoint now) {
  List& list = this->lists[control_host];
  list.heard = now;
  if (!outliers) {
    return false;
  }
  list.outliers = *std::move(outliers);
  this->ForgetOld(now);
  return true;
}

bool OutlierLists::ForgetOld(TimePoint now) {
  return std::erase_if(this->lists, [now](const auto& entry) {
           return now - entry.second.heard > kListMemory;
         }) > 0;
}

std::map<TargetId, TargetOutlier> OutlierLists::Worst() const {
  std::map<TargetId, TargetOutlier> worst;
  for (const auto& [host, list] : this->lists) {
    for (const TargetOutlier& outlier : list.outliers) {
      TargetOutlier& held =
          worst.emplace(outlier.target, outlier).first->second;
      held.failed = std::max(held.failed, outlier.failed);
      held.slowdown = std::max(held.slowdown, outlier.slowdown);
    }
  }
  return worst;
}

}  // namespace knapweedroad
