#include "knapweedroad/config/json_token_cursor.h"

#include <algorithm>

namespace knapweedroad {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kFiller = " \t\r\n,:";
constexpr std::string_view kBrackets = "{}[]";
// What ends a number or a word.
constexpr std::string_view kEndOfWord = " \t\r\n,:{}[]/\"";
// nlohmann's parser ends a line comment at a zero byte too.
constexpr std::string_view kEndOfLineComment("\n\r\0", 3);

bool Contains(std::string_view set, char c) {
  return set.find(c) != std::string_view::npos;
}

}  // namespace

JsonPosition JsonTokenCursor::Next() {
  if (this->offset == 0 && this->text.starts_with(kByteOrderMark)) {
    this->offset = kByteOrderMark.size();
  }
  this->SkipFiller();
  const JsonPosition start = this->At(this->offset);
  if (this->offset >= this->text.size()) {
    return start;
  }
  const char first = this->text[this->offset];
  if (first == '"') {
    this->SkipString();
  } else if (Contains(kBrackets, first)) {
    ++this->offset;
  } else {
    const size_t end = this->text.find_first_of(kEndOfWord, this->offset + 1);
    this->offset = std::min(end, this->text.size());
  }
  return start;
}

JsonPosition JsonTokenCursor::At(size_t offset) {
  const size_t end = std::min(offset, this->text.size());
  for (; this->counted < end; ++this->counted) {
    if (this->text[this->counted] == '\n') {
      ++this->position.line;
      this->position.column = 1;
    } else {
      ++this->position.column;
    }
  }
  return this->position;
}

void JsonTokenCursor::SkipFiller() {
  while (this->offset < this->text.size()) {
    const char c = this->text[this->offset];
    if (c == '/') {
      this->SkipComment();
    } else if (Contains(kFiller, c)) {
      ++this->offset;
    } else {
      return;
    }
  }
}

void JsonTokenCursor::SkipComment() {
  const bool block = this->text.substr(this->offset).starts_with("/*");
  const size_t body = std::min(this->offset + 2, this->text.size());
  const size_t end = block ? this->text.find("*/", body)
                           : this->text.find_first_of(kEndOfLineComment, body);
  if (end == std::string_view::npos) {
    this->offset = this->text.size();
    return;
  }
  this->offset = end + (block ? 2 : 1);
}

void JsonTokenCursor::SkipString() {
  ++this->offset;
  while (this->offset < this->text.size() && this->text[this->offset] != '"') {
    this->offset += this->text[this->offset] == '\\' ? 2 : 1;
  }
  this->offset = std::min(this->offset + 1, this->text.size());
}

}  // namespace knapweedroad
