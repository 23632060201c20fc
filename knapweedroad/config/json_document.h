// A parsed JSON text with comments that knows where each value stands.
//
//   auto document = JsonDocument::Parse(text);
//   if (!document) return Report(document.error());
//   const JsonNode& root = document->root();
//
// The grammar is nlohmann's parser's; it keeps no positions, so its events are
// matched with the tokens of the text one by one. Keys that stand twice in an
// object are all kept.

#ifndef KNAPWEEDROAD_CONFIG_JSON_DOCUMENT_H_
#define KNAPWEEDROAD_CONFIG_JSON_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/config/json_node.h"

namespace knapweedroad {

// Why a text is no JSON, and where that shows.
struct JsonSyntaxError {
  JsonPosition position;
  std::string message;
};

class JsonDocument {
 public:
  // Values nested deeper than this are refused, so that no text can make a
  // reader recurse without bound.
  static constexpr size_t kMaxDepth = 32;

  // Reads the whole text. Never throws; any bytes may be given.
  static tl::expected<JsonDocument, JsonSyntaxError> Parse(
      std::string_view text);

  const JsonNode& root() const { return this->nodes.front(); }
  // `index` comes from `JsonNode::children`.
  const JsonNode& node(size_t index) const { return this->nodes[index]; }

 private:
  explicit JsonDocument(std::vector<JsonNode> nodes)
      : nodes(std::move(nodes)) {}

  // In written order; the first is the root.
  std::vector<JsonNode> nodes;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_JSON_DOCUMENT_H_
