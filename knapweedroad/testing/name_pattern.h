// Names of targets as written on command lines and in scenarios.

#ifndef KNAPWEEDROAD_TESTING_NAME_PATTERN_H_
#define KNAPWEEDROAD_TESTING_NAME_PATTERN_H_

#include <string>
#include <string_view>

namespace knapweedroad {

// Whether `name` is one of `patterns`: names separated by commas, in which `*`
// stands for any text.
bool MatchesPatterns(std::string_view patterns, const std::string& name);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_NAME_PATTERN_H_
