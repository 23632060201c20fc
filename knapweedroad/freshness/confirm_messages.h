// The messages by which an entry host learns how recently a quorum of the
// control replicas confirmed the newest agreed version.

#ifndef KNAPWEEDROAD_FRESHNESS_CONFIRM_MESSAGES_H_
#define KNAPWEEDROAD_FRESHNESS_CONFIRM_MESSAGES_H_

#include <cstdint>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

struct ConfirmCall {
  HostId sender;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender);
  }
};

struct ConfirmReply {
  // False if no confirmation has succeeded since the control host started; the
  // other fields are then zero.
  bool is_confirmed = false;
  // The newest agreed version when the newest successful confirmation began.
  uint64_t version = 0;
  // When that confirmation began, relative to the arrival of the call, by the
  // BootClock of the control host; negative if it began before.
  int64_t offset_us = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_confirmed, this->version, this->offset_us);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_FRESHNESS_CONFIRM_MESSAGES_H_
