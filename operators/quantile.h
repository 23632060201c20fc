// A quantile of latencies, between 0 and 1.
//
//   Quantile(0.95)   // Quantile(1) doesn't compile: nothing takes longer

#ifndef OPERATORS_QUANTILE_H_
#define OPERATORS_QUANTILE_H_

namespace knapweedroad::operators {

class Quantile {
 public:
  explicit consteval Quantile(double quantile) : quantile(quantile) {
    if (!(quantile > 0.0 && quantile < 1.0)) {
      throw "a quantile is between 0 and 1";
    }
  }

  constexpr double value() const { return this->quantile; }

 private:
  double quantile;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_QUANTILE_H_
