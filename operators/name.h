// A name in a configuration, checked at compile time: 1 to 64 characters of
// a-z, 0-9, '.', '-' and '_'.
//
//   Service{.name = "redactie-1", ...}   // "Redactie 1" doesn't compile

#ifndef OPERATORS_NAME_H_
#define OPERATORS_NAME_H_

#include <cstdint>
#include <string>

#include "knapweedroad/config/name_rule.h"

namespace knapweedroad::operators {

class Name {
 public:
  // Implicit, so that a string literal can be used as a name.
  // NOLINTNEXTLINE(google-explicit-constructor)
  consteval Name(const char* text) : text(text) {
    if (!IsName(text)) {
      throw "a name must have 1 to 64 characters of a-z, 0-9, '.', '-' and '_'";
    }
  }

  // Returns a copy whose text is "NAME-NUMBER". `number` is at least 1; 0 adds
  // no suffix.
  Name WithNumber(uint32_t number) const {
    Name numbered = *this;
    numbered.number = number;
    return numbered;
  }

  std::string str() const {
    return this->number == 0
               ? std::string(this->text)
               : std::string(this->text) + "-" + std::to_string(this->number);
  }

 private:
  // A string literal, so it needs no owner.
  const char* text;
  // 0 if the name has no numeric suffix.
  uint32_t number = 0;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_NAME_H_
