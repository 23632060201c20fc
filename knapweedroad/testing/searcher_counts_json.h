// A stand-in searcher's counts as JSON, written by it and read by `load`.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_COUNTS_JSON_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_COUNTS_JSON_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/testing/searcher_core.h"
#include "knapweedroad/testing/searcher_counts.h"

namespace knapweedroad {

// Who counted, under which limits, and what.
struct TargetCounts {
  TargetId target;
  FrontId front;
  ServiceId service;
  ZoneId zone;
  uint32_t slots = 0;
  uint32_t cold_slots = 0;
  uint32_t connections = 0;
  std::vector<SnapshotId> holds;
  SearcherCounts counts;
};

TargetCounts CountsOf(const SearcherCore& core);
std::string WriteCounts(const TargetCounts& counts);
tl::expected<TargetCounts, std::string> ReadCounts(std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_COUNTS_JSON_H_
