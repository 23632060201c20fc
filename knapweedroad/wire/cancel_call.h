// A coordinator no longer wants an attempt.

#ifndef KNAPWEEDROAD_WIRE_CANCEL_CALL_H_
#define KNAPWEEDROAD_WIRE_CANCEL_CALL_H_

#include "knapweedroad/base/id.h"
#include "knapweedroad/target/attempt_id.h"

namespace knapweedroad {

struct CancelCall {
  AttemptId attempt;
  TargetId target;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->target);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_CANCEL_CALL_H_
