// How long callers of a front wait.
//
//   Deadlines({.default_deadline = 400ms, .max_deadline = 2s})
//
// A standard over the maximum doesn't compile.

#ifndef OPERATORS_DEADLINES_H_
#define OPERATORS_DEADLINES_H_

#include "operators/positive_duration.h"

namespace knapweedroad::operators {

struct DeadlineOptions {
  // Of a caller that names none.
  PositiveDuration default_deadline;
  // The longest that a caller may name.
  PositiveDuration max_deadline;
};

class Deadlines {
 public:
  explicit consteval Deadlines(DeadlineOptions options) : options(options) {
    if (options.default_deadline.value() > options.max_deadline.value()) {
      throw "the standard deadline is at most the maximum";
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
