#include "knapweedroad/routing/outlier_lists.h"

#include <algorithm>

namespace knapweedroad {

std::map<TargetId, TargetOutlier> OutlierLists::Worst() const {
  std::map<TargetId, TargetOutlier> worst;
  this->lists.ForEach([&](const TargetOutlier& outlier) {
    TargetOutlier& held = worst.emplace(outlier.target, outlier).first->second;
    held.failed = std::max(held.failed, outlier.failed);
    held.slowdown = std::max(held.slowdown, outlier.slowdown);
  });
  return worst;
}

}  // namespace knapweedroad
