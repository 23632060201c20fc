// One value of a parsed JSON text, with the place where it stands.

#ifndef KNAPWEEDROAD_CONFIG_JSON_NODE_H_
#define KNAPWEEDROAD_CONFIG_JSON_NODE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedroad {

enum class JsonKind : uint8_t {
  kNull,
  kBoolean,
  kNumber,
  kString,
  kArray,
  kObject
};

// "a number", "an object" and so on, for messages.
constexpr const char* ToString(JsonKind kind) {
  switch (kind) {
    case JsonKind::kBoolean:
      return "a boolean";
    case JsonKind::kNumber:
      return "a number";
    case JsonKind::kString:
      return "a string";
    case JsonKind::kArray:
      return "an array";
    case JsonKind::kObject:
      return "an object";
    case JsonKind::kNull:
      break;
  }
  return "null";
}

// Both count from 1; the column counts bytes.
struct JsonPosition {
  size_t line = 1;
  size_t column = 1;
};

struct JsonNode {
  JsonKind kind = JsonKind::kNull;
  JsonPosition position;
  // Of an object's member: its key and where the key stands.
  std::string key;
  JsonPosition key_position;

  bool boolean = false;
  double number = 0.0;
  // A number that is written as a whole one and isn't negative.
  std::optional<uint64_t> whole;
  std::string text;
  // Indices of the elements or members in the document, in written order.
  std::vector<size_t> children;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_JSON_NODE_H_
