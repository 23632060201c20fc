// The deadlines of a front's requests.
//
//   Deadlines({.default_deadline = 400ms, .max_deadline = 2s})
//
// A default deadline over the maximum doesn't compile.

#ifndef OPERATORS_DEADLINES_H_
#define OPERATORS_DEADLINES_H_

#include "operators/positive_duration.h"

namespace knapweedroad::operators {

struct DeadlineOptions {
  // Applies to a request that carries no deadline.
  PositiveDuration default_deadline;
  // The longest deadline that a caller may request.
  PositiveDuration max_deadline;
};

class Deadlines {
 public:
  explicit consteval Deadlines(DeadlineOptions options) : options(options) {
    if (options.default_deadline.value() > options.max_deadline.value()) {
      throw "default_deadline must not exceed max_deadline";
    }
  }

  constexpr Duration default_deadline() const {
    return this->options.default_deadline.value();
  }
  constexpr Duration max_deadline() const {
    return this->options.max_deadline.value();
  }

 private:
  DeadlineOptions options;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_DEADLINES_H_
