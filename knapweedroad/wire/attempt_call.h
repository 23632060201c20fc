// A coordinator asks the lease holder of a target to run one attempt.

#ifndef KNAPWEEDROAD_WIRE_ATTEMPT_CALL_H_
#define KNAPWEEDROAD_WIRE_ATTEMPT_CALL_H_

#include <cstdint>
#include <string>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

enum class AttemptWork : uint8_t { kSearch, kRecord, kLookup };

struct AttemptCall {
  AttemptId attempt;
  TargetId target;
  FrontId front;
  TenantId tenant;
  std::string request_class;
  uint32_t tenant_weight = 1;
  uint32_t class_weight = 1;
  AttemptWork work = AttemptWork::kSearch;
  // As `AttemptPurpose`: 0 first try, 1 retry, 2 hedge.
  uint8_t purpose = 0;
  // Time left when it was sent. The hop's own time is not in it, so the
  // coordinator keeps its own deadline beside.
  uint64_t remaining_ns = 0;
  SnapshotId snapshot;
  std::string request_id;
  // Lookups only.
  std::string idempotency_key;
  // A search's body; a record's id.
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->target, this->front, this->tenant,
            this->request_class, this->tenant_weight, this->class_weight,
            this->work, this->purpose, this->remaining_ns, this->snapshot,
            this->request_id, this->idempotency_key, this->body);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_ATTEMPT_CALL_H_
