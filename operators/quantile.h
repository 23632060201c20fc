// A quantile of latencies, greater than 0 and less than 1.
//
//   Quantile(0.95)   // Quantile(1) doesn't compile: no latency exceeds it

#ifndef OPERATORS_QUANTILE_H_
#define OPERATORS_QUANTILE_H_

namespace knapweedroad::operators {

class Quantile {
 public:
  explicit consteval Quantile(double quantile) : quantile(quantile) {
    if (!(quantile > 0.0 && quantile < 1.0)) {
      throw "a quantile must be greater than 0 and less than 1";
    }
  }

  constexpr double value() const { return this->quantile; }

 private:
  double quantile;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_QUANTILE_H_
