// What became of an attempt at its target.

#ifndef KNAPWEEDROAD_WIRE_ATTEMPT_REPLY_H_
#define KNAPWEEDROAD_WIRE_ATTEMPT_REPLY_H_

#include <cstdint>
#include <string>

#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

enum class AttemptEnd : uint8_t {
  kAnswered,    // `status`, `snapshot` and `body` are the target's
  kRefused,     // the lease holder had no slot for it in time
  kNotHolder,   // this host doesn't hold the target's lease
  kShed,        // the target refused it
  kNoSnapshot,  // the target doesn't hold the snapshot
  kTimeout,     // no answer in time
  kConnection,  // the connection to the target failed
  kLeaving,     // the target takes no new work
  kBroken,      // the target's answer can't be used
  kCancelled,   // the coordinator cancelled it
  // The target closed the connection without an answer, and may have run it.
  // Not known to hosts of earlier versions, which treat it as kConnection.
  kTargetLost,
};

struct AttemptReply {
  AttemptEnd end = AttemptEnd::kConnection;
  RunOutcome outcome = RunOutcome::kUnknown;
  // When the lease holder or target expects to have room; 0: not said.
  uint64_t retry_after_ns = 0;
  int32_t status = 0;
  SnapshotId snapshot;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->end, this->outcome, this->retry_after_ns, this->status,
            this->snapshot, this->body);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_ATTEMPT_REPLY_H_
