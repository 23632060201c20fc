// A fraction from 0 to 1, both included.
//
//   Fraction(0.05)   // Fraction(5) doesn't compile

#ifndef OPERATORS_FRACTION_H_
#define OPERATORS_FRACTION_H_

namespace knapweedroad::operators {

class Fraction {
 public:
  explicit consteval Fraction(double fraction) : fraction(fraction) {
    if (!(fraction >= 0.0 && fraction <= 1.0)) {
      throw "a fraction must be from 0 to 1";
    }
  }

  constexpr double value() const { return this->fraction; }

 private:
  double fraction;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_FRACTION_H_
