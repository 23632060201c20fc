// A host asks the one that is responsible for a key to run a lookup.

#ifndef KNAPWEEDROAD_WIRE_LOOKUP_CALL_H_
#define KNAPWEEDROAD_WIRE_LOOKUP_CALL_H_

#include <cstdint>
#include <string>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/base/snapshot_id.h"

namespace knapweedroad {

struct LookupCall {
  FrontId front;
  TenantId tenant;
  std::string request_class;
  uint32_t tenant_weight = 1;
  uint32_t class_weight = 1;
  std::string request_id;
  std::string idempotency_key;
  std::string record_id;
  // The caller says that it never sent this key before.
  bool first_send = false;
  uint64_t remaining_ns = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->front, this->tenant, this->request_class, this->tenant_weight,
            this->class_weight, this->request_id, this->idempotency_key,
            this->record_id, this->first_send, this->remaining_ns);
  }
};

// The record, or a refusal.
struct LookupReply {
  bool is_answer = false;
  // Of an answer.
  bool found = false;
  SnapshotId snapshot;
  std::string body;
  // Of a refusal.
  int32_t status = 503;
  std::string title;
  std::string detail;
  RunOutcome outcome = RunOutcome::kUnknown;
  uint64_t retry_after_ns = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_answer, this->found, this->snapshot, this->body,
            this->status, this->title, this->detail, this->outcome,
            this->retry_after_ns);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_LOOKUP_CALL_H_
