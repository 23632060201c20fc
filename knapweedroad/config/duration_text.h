// Durations as settings write them: a number with its unit, "250ms", "1.5s".

#ifndef KNAPWEEDROAD_CONFIG_DURATION_TEXT_H_
#define KNAPWEEDROAD_CONFIG_DURATION_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// The units that `ParseDuration` knows, for messages.
inline constexpr std::string_view kDurationUnits = "ns, us, ms or s";

// Reads digits, a fraction of up to nine digits if need be, and the unit,
// without spaces or sign. Empty for anything else, for a value that is no whole
// number of nanoseconds, and over 1000000000s.
std::optional<Duration> ParseDuration(std::string_view text);

// The largest unit in which the value is a whole number; `ParseDuration` reads
// it back to the same value where that is in its range.
std::string PrintDuration(Duration duration);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_DURATION_TEXT_H_
