#include "knapweedroad/edge/header_text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace knapweedroad {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",       "Keep-Alive",
    "Proxy-Connection", "TE",
    "Trailer",          "Transfer-Encoding",
    "Upgrade",          "Proxy-Authenticate",
    "Content-Length"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

bool IsSameName(std::string_view left, std::string_view right) {
  return std::ranges::equal(
      left, right, [](char a, char b) { return Lower(a) == Lower(b); });
}

bool HasToken(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (IsSameName(Trim(list.substr(0, comma)), word)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  return std::ranges::any_of(
             kHopByHop,
             [&](std::string_view known) { return IsSameName(name, known); }) ||
         HasToken(connection, name);
}

std::optional<uint64_t> ParseCount(std::string_view text) {
  text = Trim(text);
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<uint64_t> KeepAliveSeconds(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const size_t at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  value.remove_prefix(at + kName.size());
  const size_t digits =
      std::min(value.find_first_not_of("0123456789"), value.size());
  return ParseCount(value.substr(0, digits));
}

void AppendLine(std::string& header,
                std::string_view name,
                std::string_view value) {
  header += name;
  header += ": ";
  header += value;
  header += "\r\n";
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace knapweedroad
