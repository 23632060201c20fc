// How long callers of a front wait.
//
//   Deadlines({.standard = 400ms, .maximum = 2s})
//
// A standard over the maximum doesn't compile.

#ifndef OPERATORS_DEADLINES_H_
#define OPERATORS_DEADLINES_H_

#include "operators/positive_duration.h"

namespace knapweedroad::operators {

struct DeadlineOptions {
  // Of a caller that names none.
  PositiveDuration standard;
  // The longest that a caller may name.
  PositiveDuration maximum;
};

class Deadlines {
 public:
  explicit consteval Deadlines(DeadlineOptions options) : options(options) {
    if (options.standard.value() > options.maximum.value()) {
      throw "the standard deadline is at most the maximum";
    }
  }

  constexpr Duration standard() const { return this->options.standard.value(); }
  constexpr Duration maximum() const { return this->options.maximum.value(); }

 private:
  DeadlineOptions options;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_DEADLINES_H_
