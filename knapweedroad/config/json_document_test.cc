#include "knapweedroad/config/json_document.h"

#include <string>
#include <string_view>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

std::string Place(JsonPosition position) {
  return std::to_string(position.line) + ":" + std::to_string(position.column);
}

// The place of the first element of the array in `text`, whole.
std::string PlaceOfFirst(std::string_view text) {
  const auto document = JsonDocument::Parse(text);
  cr_assert(document.has_value());
  return Place(document->node(document->root().children.at(0)).position);
}

Test(JsonDocument, StepsOverComments) {
  cr_expect(PlaceOfFirst("[ // ] \"\n  7]") == "2:3");
  cr_expect(PlaceOfFirst("[/* ] \" * / \n */ 7]") == "2:5");
  cr_expect(PlaceOfFirst("[// a\r 7]") == "1:8");
  cr_expect(PlaceOfFirst(std::string_view("[// a\0 7]", 9)) == "1:8");
}

Test(JsonDocument, StepsOverStringsWithQuotesAndCommentsInThem) {
  const auto document = JsonDocument::Parse(R"(["a\"]//\\", 7])");
  cr_assert(document.has_value());
  const JsonNode& second = document->node(document->root().children.at(1));
  cr_assert(Place(second.position) == "1:14");
}

Test(JsonDocument, StepsOverNumbersThatEndAtAComment) {
  const auto document = JsonDocument::Parse("[-1.5e3/* a */,true,\nnull]");
  cr_assert(document.has_value());
  const auto& children = document->root().children;
  cr_expect(Place(document->node(children.at(1)).position) == "1:16");
  cr_expect(Place(document->node(children.at(2)).position) == "2:1");
}

Test(JsonDocument, StepsOverAByteOrderMark) {
  cr_expect(PlaceOfFirst("\xEF\xBB\xBF\n[7]") == "2:2");
}

Test(JsonDocument, KnowsWhereAKeyStands) {
  const auto document = JsonDocument::Parse("{\n \"a\" : {}}");
  cr_assert(document.has_value());
  const JsonNode& member = document->node(document->root().children.at(0));
  cr_expect(Place(member.key_position) == "2:2");
  cr_expect(Place(member.position) == "2:8");
}

Test(JsonDocument, KeepsKeysThatStandTwice) {
  const auto document = JsonDocument::Parse(R"({"a": 1, "a": 2})");
  cr_assert(document.has_value());
  cr_assert(document->root().children.size() == 2);
}

// A text of brackets alone, sent to a host's operator address, would make every
// reader of the tree recurse until the process has no stack left.
Test(JsonDocument, RefusesValuesThatAreNestedTooDeep) {
  const std::string allowed(JsonDocument::kMaxDepth, '[');
  const std::string closed(JsonDocument::kMaxDepth, ']');
  cr_expect(JsonDocument::Parse(allowed + closed).has_value());
  const auto refused = JsonDocument::Parse("[" + allowed + closed + "]");
  cr_assert(!refused.has_value());
  cr_expect(Place(refused.error().position) == "1:33");
}

}  // namespace
}  // namespace knapweedroad
