// What one target answered to one sub-request.

#ifndef KNAPWEEDROAD_QUERY_SEARCH_REPLY_H_
#define KNAPWEEDROAD_QUERY_SEARCH_REPLY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

struct Hit {
  std::string id;
  double score = 0.0;

  friend bool operator==(const Hit&, const Hit&) = default;
};

struct SearchReply {
  // As the target echoed it, not as it was asked for.
  SnapshotId snapshot;
  // Units of the index that the target says it searched.
  uint32_t units = 0;
  std::vector<Hit> hits;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_SEARCH_REPLY_H_
