// What a target answered to the read of one record.

#ifndef KNAPWEEDROAD_QUERY_RECORD_REPLY_H_
#define KNAPWEEDROAD_QUERY_RECORD_REPLY_H_

#include <string>

#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

struct RecordReply {
  SnapshotId snapshot;
  // False where the target answered that there is no such record.
  bool found = true;
  // The record as the target sent it.
  std::string body;

  friend bool operator==(const RecordReply&, const RecordReply&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_RECORD_REPLY_H_
