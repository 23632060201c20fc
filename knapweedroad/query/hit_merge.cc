#include "knapweedroad/query/hit_merge.h"

#include <algorithm>
#include <unordered_set>

namespace knapweedroad {
namespace {

bool RanksBefore(const Hit& left, const Hit& right) {
  if (left.score != right.score) {
    return left.score > right.score;
  }
  return left.id < right.id;
}

}  // namespace

std::vector<Hit> MergeHits(std::vector<Hit> hits, uint32_t limit) {
  std::ranges::sort(hits, RanksBefore);
  std::unordered_set<std::string> seen;
  std::vector<Hit> merged;
  for (Hit& hit : hits) {
    if (merged.size() == limit) {
      break;
    }
    if (seen.insert(hit.id).second) {
      merged.push_back(std::move(hit));
    }
  }
  return merged;
}

}  // namespace knapweedroad
