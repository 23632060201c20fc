// A part of a whole, from 0 to 1.
//
//   Share(0.05)   // Share(5) doesn't compile

#ifndef OPERATORS_SHARE_H_
#define OPERATORS_SHARE_H_

namespace knapweedroad::operators {

class Share {
 public:
  explicit consteval Share(double share) : share(share) {
    if (!(share >= 0.0 && share <= 1.0)) {
      throw "a share is from 0 to 1";
    }
  }

  constexpr double value() const { return this->share; }

 private:
  double share;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_SHARE_H_
