#include "knapweedroad/config/json_document.h"

#include <cstdint>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "knapweedroad/config/json_token_cursor.h"

namespace knapweedroad {
namespace {

using Json = nlohmann::json;

// nlohmann's text begins "[json.exception...] parse error at line 1, column 2:
// "; the place is reported apart.
std::string WithoutPlace(std::string_view what) {
  const size_t colon = what.find(": ");
  return std::string(colon == std::string_view::npos ? what
                                                     : what.substr(colon + 2));
}

// Builds the nodes from the parser's events. Each event stands for exactly one
// token, so that the cursor takes one step at each.
class NodeBuilder final : public nlohmann::json_sax<Json> {
 public:
  explicit NodeBuilder(std::string_view text) : text(text), cursor(text) {}

  bool null() override {
    this->Add(JsonKind::kNull);
    return true;
  }
  bool boolean(bool value) override {
    this->Add(JsonKind::kBoolean).boolean = value;
    return true;
  }
  bool number_integer(number_integer_t value) override {
    JsonNode& node = this->Add(JsonKind::kNumber);
    node.number = static_cast<double>(value);
    if (value >= 0) {
      node.whole = static_cast<uint64_t>(value);
    }
    return true;
  }
  bool number_unsigned(number_unsigned_t value) override {
    JsonNode& node = this->Add(JsonKind::kNumber);
    node.number = static_cast<double>(value);
    node.whole = value;
    return true;
  }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    this->Add(JsonKind::kNumber).number = value;
    return true;
  }
  bool string(string_t& value) override {
    this->Add(JsonKind::kString).text = value;
    return true;
  }
  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(size_t /*size*/) override {
    return this->Open(JsonKind::kObject);
  }
  bool start_array(size_t /*size*/) override {
    return this->Open(JsonKind::kArray);
  }
  bool end_object() override { return this->Close(); }
  bool end_array() override { return this->Close(); }

  bool key(string_t& value) override {
    this->next_key = value;
    this->next_key_position = this->cursor.Next();
    return true;
  }

  bool parse_error(size_t position,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    // The parser counts bytes read, the offending one included. The cursor is
    // past it where the text broke off inside a token.
    const size_t offset = position == 0 ? 0 : position - 1;
    this->error = JsonSyntaxError{
        .position = JsonTokenCursor(this->text).At(offset),
        .message = WithoutPlace(error.what()),
    };
    return false;
  }

  std::optional<JsonSyntaxError> error;
  std::vector<JsonNode> nodes;

 private:
  JsonNode& Add(JsonKind kind) {
    const size_t index = this->nodes.size();
    if (!this->open.empty()) {
      this->nodes[this->open.back()].children.push_back(index);
    }
    JsonNode& node = this->nodes.emplace_back();
    node.kind = kind;
    node.position = this->cursor.Next();
    node.key = std::exchange(this->next_key, {});
    node.key_position = this->next_key_position;
    return node;
  }

  bool Open(JsonKind kind) {
    const JsonPosition position = this->Add(kind).position;
    this->open.push_back(this->nodes.size() - 1);
    if (this->open.size() <= JsonDocument::kMaxDepth) {
      return true;
    }
    this->error = JsonSyntaxError{
        .position = position,
        .message = "values are nested deeper than " +
                   std::to_string(JsonDocument::kMaxDepth),
    };
    return false;
  }

  bool Close() {
    this->cursor.Next();
    this->open.pop_back();
    return true;
  }

  std::string_view text;
  JsonTokenCursor cursor;
  // The objects and arrays that are being read, outermost first.
  std::vector<size_t> open;
  std::string next_key;
  JsonPosition next_key_position;
};

}  // namespace

tl::expected<JsonDocument, JsonSyntaxError> JsonDocument::Parse(
    std::string_view text) {
  NodeBuilder builder(text);
  constexpr bool kStrict = true;
  constexpr bool kIgnoreComments = true;
  const bool whole = Json::sax_parse(text.begin(), text.end(), &builder,
                                     nlohmann::detail::input_format_t::json,
                                     kStrict, kIgnoreComments);
  if (builder.error) {
    return tl::unexpected(*std::move(builder.error));
  }
  if (!whole || builder.nodes.empty()) {
    return tl::unexpected(JsonSyntaxError{.message = "the text is no JSON"});
  }
  return JsonDocument(std::move(builder.nodes));
}

}  // namespace knapweedroad
