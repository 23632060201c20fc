// A host's claim that a target is its to talk to.

#ifndef KNAPWEEDROAD_TARGET_HELD_TARGET_H_
#define KNAPWEEDROAD_TARGET_HELD_TARGET_H_

#include <cstdint>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct HeldTarget {
  TargetId target;
  // What it may use now.
  uint32_t slots = 0;
  // Without a majority of its zone: another host may hold the target too, for
  // the rest of the slots.
  bool isolated = false;
  // For how long it has held the target when it says so. Ages are sent, as
  // moments of a host's clock mean nothing to another.
  Duration held_for{};

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->slots, this->isolated, this->held_for);
  }

  friend bool operator==(const HeldTarget&, const HeldTarget&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TARGET_HELD_TARGET_H_
