// One target's reply to one search sub-request.

#ifndef KNAPWEEDROAD_QUERY_SEARCH_REPLY_H_
#define KNAPWEEDROAD_QUERY_SEARCH_REPLY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

struct Hit {
  // The record's id.
  std::string id;
  double score = 0.0;

  friend bool operator==(const Hit&, const Hit&) = default;
};

struct SearchReply {
  // The snapshot that the target reports to have searched, which may differ
  // from the requested one.
  SnapshotId snapshot;
  // The number of index units that the target reports to have searched.
  uint32_t units = 0;
  std::vector<Hit> hits;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_SEARCH_REPLY_H_
