// A target's reply to the read or lookup of one record.

#ifndef KNAPWEEDROAD_QUERY_RECORD_REPLY_H_
#define KNAPWEEDROAD_QUERY_RECORD_REPLY_H_

#include <string>

#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

struct RecordReply {
  SnapshotId snapshot;
  // False if the target replied that the record does not exist.
  bool found = true;
  // The record as the target sent it.
  std::string body;

  friend bool operator==(const RecordReply&, const RecordReply&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_RECORD_REPLY_H_
