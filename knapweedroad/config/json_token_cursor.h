// Finds where each token of a JSON text begins.
//
//   JsonTokenCursor cursor(text);
//   const JsonPosition place = cursor.Next();
//
// It knows just enough of the grammar to step over tokens, and relies on a
// parser that accepts the same text; it stays inside the text whatever it is.

#ifndef KNAPWEEDROAD_CONFIG_JSON_TOKEN_CURSOR_H_
#define KNAPWEEDROAD_CONFIG_JSON_TOKEN_CURSOR_H_

#include <cstddef>
#include <string_view>

#include "knapweedroad/config/json_node.h"

namespace knapweedroad {

class JsonTokenCursor {
 public:
  explicit JsonTokenCursor(std::string_view text) : text(text) {}

  // Steps over whitespace, comments, commas and colons, then over one token (a
  // bracket, string, number or word), and returns where the token begins.
  JsonPosition Next();

  // The position of a byte that is not before any position already asked for.
  JsonPosition At(size_t offset);

 private:
  void SkipFiller();
  void SkipComment();
  void SkipString();

  std::string_view text;
  // The next byte to read.
  size_t offset = 0;
  // Up to where lines have been counted.
  size_t counted = 0;
  JsonPosition position;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_JSON_TOKEN_CURSOR_H_
