// A name that is known to be one when the program is compiled.
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
  // Implicit, so that a literal can stand for a name.
  // NOLINTNEXTLINE(google-explicit-constructor)
  consteval Name(const char* text) : text(text) {
    if (!IsName(text)) {
      throw "a name has 1 to 64 of a-z, 0-9, '.', '-' and '_'";
    }
  }

  // "NAME-NUMBER".
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
  // A literal.
  const char* text;
  // 0 for none.
  uint32_t number = 0;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_NAME_H_
