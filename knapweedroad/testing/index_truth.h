// What the stand-in searchers' index truly holds, as pure functions.
//
//   auto hits = TrueHits({.front = front, .snapshot = snapshot,
//                         .service = service}, "storm in Ostend");
//
// A searcher answers from these, and the history checker computes them again,
// so that a hit of another snapshot, service or query is always noticed.

#ifndef KNAPWEEDROAD_TESTING_INDEX_TRUTH_H_
#define KNAPWEEDROAD_TESTING_INDEX_TRUTH_H_

#include <string>
#include <string_view>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

struct IndexHit {
  std::string id;
  double score = 0.0;

  friend bool operator==(const IndexHit&, const IndexHit&) = default;
};

// One service's part of a front's index in one state.
struct IndexPart {
  FrontId front;
  SnapshotId snapshot;
  ServiceId service;
};

// Hits that each service has for each query.
inline constexpr int kHitsPerService = 3;

// The hits of `query`, best first.
std::vector<IndexHit> TrueHits(const IndexPart& part, std::string_view query);

// The text of a record; the same on every target of the front.
std::string TrueRecordText(const FrontId& front,
                           const SnapshotId& snapshot,
                           std::string_view record);

// Whether the index has a record under this id: all but those whose id starts
// with "no-".
bool RecordExists(std::string_view record);

// Best first, equal scores by id, at most `limit`.
void SortAndCut(std::vector<IndexHit>& hits, size_t limit);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_INDEX_TRUTH_H_
