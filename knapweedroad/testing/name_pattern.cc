#include "knapweedroad/testing/name_pattern.h"

#include <fnmatch.h>

namespace knapweedroad {

bool MatchesPatterns(std::string_view patterns, const std::string& name) {
  while (true) {
    const size_t comma = patterns.find(',');
    const std::string pattern(patterns.substr(0, comma));
    if (::fnmatch(pattern.c_str(), name.c_str(), 0) == 0) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    patterns.remove_prefix(comma + 1);
  }
}

}  // namespace knapweedroad
