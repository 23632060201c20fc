// Merges the hits of several services.
//
//   std::vector<Hit> best = MergeHits(std::move(all), 10);

#ifndef KNAPWEEDROAD_QUERY_HIT_MERGE_H_
#define KNAPWEEDROAD_QUERY_HIT_MERGE_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/query/search_reply.h"

namespace knapweedroad {

// Returns the `limit` hits with the highest scores, highest first; hits of
// equal score are ordered by id. An id that several services return appears
// once, with its highest score.
std::vector<Hit> MergeHits(std::vector<Hit> hits, uint32_t limit);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_HIT_MERGE_H_
