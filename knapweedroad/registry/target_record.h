// The state that a target announced, as hosts forward it.

#ifndef KNAPWEEDROAD_REGISTRY_TARGET_RECORD_H_
#define KNAPWEEDROAD_REGISTRY_TARGET_RECORD_H_

#include <cstdint>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

// In order of precedence between records of one incarnation and sequence.
enum class TargetPhase : uint8_t {
  kServing,
  kSilent,   // heartbeats have stopped; it may still serve
  kLeaving,  // receives no new requests
  kGone,     // deregistered, or replaced at its address
};

struct TargetRecord {
  TargetId id;
  ServiceId service;
  ZoneId zone;
  // The version of its software; empty if not announced.
  VersionId version;
  Endpoint address;
  // The maximum number of requests that it runs concurrently.
  uint32_t slots = 1;
  // Identifies its incarnation: the Unix time of its start in milliseconds, or
  // zero if not announced. It is compared only between incarnations of one id
  // or one address, never with a clock.
  uint64_t started_ms = 0;
  // Increases with each announcement of an incarnation.
  uint64_t sequence = 0;
  TargetPhase phase = TargetPhase::kServing;
  // The remaining time of its cold start, during which its capacity is reduced,
  // counted from when the record was forwarded.
  Duration cold_left{};
  // The control host that receives its heartbeats.
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

// Whether `left` is a newer state of the same target than `right`.
//
// A delayed announcement of an earlier incarnation never supersedes a later
// one, whatever its sequence.
inline bool Supersedes(const TargetRecord& left, const TargetRecord& right) {
  if (left.started_ms != right.started_ms) {
    return left.started_ms > right.started_ms;
  }
  // An incarnation that has deregistered does not return.
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
