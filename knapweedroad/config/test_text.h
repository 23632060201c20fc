// Helpers of this folder's tests: a valid text with one piece changed, and
// its faults as text.

#ifndef KNAPWEEDROAD_CONFIG_TEST_TEXT_H_
#define KNAPWEEDROAD_CONFIG_TEST_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/config/config_error.h"

namespace knapweedroad {

// `text` with the first `piece` replaced, which has to be there.
inline std::string Replaced(std::string_view text,
                            std::string_view piece,
                            std::string_view replacement) {
  std::string changed(text);
  const size_t place = changed.find(piece);
  cr_assert(place != std::string::npos);
  return changed.replace(place, piece.size(), replacement);
}

// One fault a line, each as "LINE:COLUMN: PATH: MESSAGE; REMEDY".
inline std::string Lines(const std::vector<ConfigError>& errors) {
  std::string lines;
  for (const ConfigError& error : errors) {
    const std::string line = error.ToString();
    lines += line.substr(error.file.size() + 1) + "\n";
  }
  return lines;
}

// Exactly one fault, which begins with `expected`.
inline void ExpectOneError(const std::vector<ConfigError>& errors,
                           std::string_view expected) {
  const std::string lines = Lines(errors);
  cr_expect(errors.size() == 1 && lines.starts_with(expected),
            "found %s instead of %s", lines.c_str(),
            std::string(expected).c_str());
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_TEST_TEXT_H_
