// Guesses which known name was meant by one that is misspelt.

#ifndef KNAPWEEDROAD_CONFIG_NEAREST_NAME_H_
#define KNAPWEEDROAD_CONFIG_NEAREST_NAME_H_

#include <optional>
#include <span>
#include <string_view>

namespace knapweedroad {

// The known name that the fewest inserted, deleted and replaced letters turn
// `name` into; empty where that would replace more than half of it. Names
// over 64 bytes and lists over 200 names aren't searched, which bounds the time
// that a hostile file can take.
std::optional<std::string_view> NearestName(
    std::string_view name,
    std::span<const std::string_view> known);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_NEAREST_NAME_H_
