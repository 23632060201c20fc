// A compile-time duration greater than zero.
//
//   TailPolicy{.latency_target = 120ms}
//
// 0ms and a plain 120 don't compile.

#ifndef OPERATORS_POSITIVE_DURATION_H_
#define OPERATORS_POSITIVE_DURATION_H_

#include <chrono>

#include "knapweedroad/base/time.h"

namespace knapweedroad::operators {

class PositiveDuration {
 public:
  // Implicit, so that a literal with a unit can be used as one.
  template <typename Number, typename Unit>
  // NOLINTNEXTLINE(google-explicit-constructor)
  consteval PositiveDuration(std::chrono::duration<Number, Unit> duration)
      : duration(duration) {
    if (duration <= duration.zero()) {
      throw "a duration must be greater than 0";
    }
  }

  constexpr Duration value() const { return this->duration; }

 private:
  Duration duration;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_POSITIVE_DURATION_H_
