// By which a control host has others store that targets leave or are gone.

#ifndef KNAPWEEDROAD_EDGE_DEPARTURE_MESSAGES_H_
#define KNAPWEEDROAD_EDGE_DEPARTURE_MESSAGES_H_

#include <vector>

#include "knapweedroad/control/member_id.h"
#include "knapweedroad/registry/target_record.h"

namespace knapweedroad {

struct DepartureCall {
  // In phase kLeaving or kGone.
  std::vector<TargetRecord> departures;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->departures);
  }
};

struct DepartureReply {
  // All departures of the call are on this replica's disk.
  MemberId holder;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->holder);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_DEPARTURE_MESSAGES_H_
