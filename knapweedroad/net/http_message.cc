#include "knapweedroad/net/http_message.h"

#include <algorithm>

namespace knapweedroad {
namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool HeaderNameLess::operator()(std::string_view left,
                                std::string_view right) const {
  return std::lexicographical_compare(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return Lower(a) < Lower(b); });
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view()
                                : std::string_view(found->second);
}

}  // namespace knapweedroad
