// Names in headers and paths: requests, operators, keys, records, zones.

#ifndef KNAPWEEDROAD_HOST_PROTOCOL_NAME_H_
#define KNAPWEEDROAD_HOST_PROTOCOL_NAME_H_

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace knapweedroad {

inline constexpr size_t kMaxNameLength = 64;

// Whether it is 1 to 64 of `A-Za-z0-9._-`, as docs/PROTOCOLS.md asks for.
inline bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_PROTOCOL_NAME_H_
