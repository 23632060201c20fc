// What a name of a deployment may be made of.

#ifndef KNAPWEEDROAD_CONFIG_NAME_RULE_H_
#define KNAPWEEDROAD_CONFIG_NAME_RULE_H_

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace knapweedroad {

inline constexpr size_t kMaxNameLength = 64;

// The rule as a remedy.
inline constexpr std::string_view kNameRule =
    "use 1 to 64 of a-z, 0-9, '.', '-' and '_'";

constexpr bool IsNameLetter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '-' || c == '_';
}

constexpr bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameLetter);
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_NAME_RULE_H_
