// What a target has told of itself, as hosts pass it on.

#ifndef KNAPWEEDROAD_REGISTRY_TARGET_RECORD_H_
#define KNAPWEEDROAD_REGISTRY_TARGET_RECORD_H_

#include <cstdint>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

// In the order of precedence between records of one life and sequence.
enum class TargetPhase : uint8_t {
  kServing,
  kSilent,   // its heartbeats have stopped; it may still serve
  kLeaving,  // gets no new work
  kGone,     // has signed off, or another target has its address
};

struct TargetRecord {
  TargetId id;
  ServiceId service;
  ZoneId zone;
  // Of its software; empty where it doesn't say.
  VersionId version;
  Endpoint address;
  // Requests that it runs at once.
  uint32_t slots = 1;
  // Its life: Unix milliseconds of its start, zero where it doesn't say. Only
  // compared between lives of one id or one address, never with a clock.
  uint64_t started_ms = 0;
  // Rises with each announcement of a life.
  uint64_t sequence = 0;
  TargetPhase phase = TargetPhase::kServing;
  // For how much longer it bears little, from when the record was passed on.
  Duration cold_left{};
  // The control host that its heartbeats reach.
  HostId heartbeat_receiver;

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    int64_t cold_ns = this->cold_left.count();
    archive(this->id, this->service, this->zone, this->version,
            this->address.ip, this->address.port, this->slots, this->started_ms,
            this->sequence, this->phase, cold_ns, this->heartbeat_receiver);
    this->cold_left = Duration(cold_ns);
  }
};

// Whether `left` is newer knowledge of the same target than `right`.
//
// A delayed announcement of an earlier life doesn't supersede a later life,
// whatever its sequence.
inline bool Supersedes(const TargetRecord& left, const TargetRecord& right) {
  if (left.started_ms != right.started_ms) {
    return left.started_ms > right.started_ms;
  }
  // A life that has signed off doesn't come back.
  if ((left.phase == TargetPhase::kGone) !=
      (right.phase == TargetPhase::kGone)) {
    return left.phase == TargetPhase::kGone;
  }
  if (left.sequence != right.sequence) {
    return left.sequence > right.sequence;
  }
  return left.phase > right.phase;
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_TARGET_RECORD_H_
