// A host's claim that it may send requests to a target. Heartbeats carry these
// claims to the other hosts.

#ifndef KNAPWEEDROAD_TARGET_HELD_TARGET_H_
#define KNAPWEEDROAD_TARGET_HELD_TARGET_H_

#include <cstdint>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct HeldTarget {
  TargetId target;
  // The number of the target's slots that the host may use now.
  uint32_t slots = 0;
  // True if the host can't reach a majority of the hosts in its zone. Another
  // host may then hold the target too, for the remaining slots.
  bool isolated = false;
  // How long the host has held the target at the time of the claim. This is a
  // duration rather than a time point because the clocks of two hosts can't be
  // compared.
  Duration held_for{};

  // Serializes for cereal. The order of the fields is the wire format.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->slots, this->isolated, this->held_for);
  }

  friend bool operator==(const HeldTarget&, const HeldTarget&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TARGET_HELD_TARGET_H_
