#include "knapweedroad/routing/outlier_lists.h"

#include <algorithm>

namespace knapweedroad {

std::map<TargetId, TargetOutlier> OutlierLists::WorstByTarget() const {
  std::map<TargetId, TargetOutlier> worst;
  this->lists.ForEach([&](const TargetOutlier& outlier) {
    TargetOutlier& combined =
        worst.emplace(outlier.target, outlier).first->second;
    combined.failed = std::max(combined.failed, outlier.failed);
    combined.slowdown = std::max(combined.slowdown, outlier.slowdown);
  });
  return worst;
}

}  // namespace knapweedroad
