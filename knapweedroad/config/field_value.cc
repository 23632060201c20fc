#include "knapweedroad/config/field_value.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>

#include "knapweedroad/config/duration_text.h"
#include "knapweedroad/config/json_node.h"
#include "knapweedroad/config/name_rule.h"
#include "knapweedroad/config/nearest_name.h"

namespace knapweedroad {
namespace {

constexpr size_t kMaxExcerpt = 64;

tl::unexpected<ValueFault> Fault(std::string message, std::string remedy) {
  return tl::make_unexpected(ValueFault{std::move(message), std::move(remedy)});
}

tl::unexpected<ValueFault> WrongType(const JsonNode& node,
                                     std::string_view wanted) {
  return Fault(
      "expected " + std::string(wanted) + ", found " + ToString(node.kind),
      "write " + std::string(wanted));
}

bool IsIpNumber(const std::string& ip) {
  in6_addr ignored{};
  const int family = ip.find(':') == std::string::npos ? AF_INET : AF_INET6;
  return inet_pton(family, ip.c_str(), &ignored) == 1;
}

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const bool has_colon = ip.find(':') != std::string_view::npos;
  if (!port || bracketed != has_colon || !IsIpNumber(std::string(ip))) {
    return std::nullopt;
  }
  return Endpoint{.ip = std::string(ip), .port = *port};
}

}  // namespace

std::string Excerpt(std::string_view text) {
  std::string excerpt(text.substr(0, kMaxExcerpt));
  const auto is_control = [](unsigned char c) { return std::iscntrl(c) != 0; };
  std::replace_if(excerpt.begin(), excerpt.end(), is_control, '?');
  return text.size() > kMaxExcerpt ? excerpt + "..." : excerpt;
}

std::string Quoted(std::string_view text) {
  return "'" + Excerpt(text) + "'";
}

FieldValue<std::string> ReadName(const JsonNode& node) {
  if (node.kind != JsonKind::kString) {
    return WrongType(node, "a name");
  }
  if (!IsName(node.text)) {
    return Fault(Quoted(node.text) + " is no name", std::string(kNameRule));
  }
  return node.text;
}

FieldValue<std::string> ReadText(const JsonNode& node) {
  if (node.kind != JsonKind::kString) {
    return WrongType(node, "a string");
  }
  if (node.text.empty()) {
    return Fault("the string is empty", "write it, or leave the key out");
  }
  return node.text;
}

FieldValue<bool> ReadBoolean(const JsonNode& node) {
  if (node.kind != JsonKind::kBoolean) {
    return WrongType(node, "true or false");
  }
  return node.boolean;
}

FieldValue<uint32_t> ReadCount(const JsonNode& node) {
  constexpr uint32_t kMax = std::numeric_limits<uint32_t>::max();
  if (node.kind != JsonKind::kNumber) {
    return WrongType(node, "a whole number");
  }
  if (!node.whole || *node.whole == 0 || *node.whole > kMax) {
    return Fault("the number is not a whole one above 0",
                 "write one from 1 to " + std::to_string(kMax));
  }
  return static_cast<uint32_t>(*node.whole);
}

FieldValue<double> ReadShare(const JsonNode& node) {
  if (node.kind != JsonKind::kNumber) {
    return WrongType(node, "a share from 0 to 1");
  }
  if (!(node.number >= 0.0 && node.number <= 1.0)) {
    return Fault("the share is not from 0 to 1", "write 0.05 for 5 percent");
  }
  return node.number;
}

FieldValue<double> ReadQuantile(const JsonNode& node) {
  if (node.kind != JsonKind::kNumber) {
    return WrongType(node, "a quantile between 0 and 1");
  }
  if (!(node.number > 0.0 && node.number < 1.0)) {
    return Fault("the quantile is not between 0 and 1",
                 "write 0.95 for the 95th percentile");
  }
  return node.number;
}

FieldValue<Duration> ReadDuration(const JsonNode& node) {
  if (node.kind == JsonKind::kNumber) {
    return Fault("expected a duration, found a number",
                 "write a string with the unit (" +
                     std::string(kDurationUnits) + "), such as \"250ms\"");
  }
  if (node.kind != JsonKind::kString) {
    return WrongType(node, "a duration");
  }
  const std::optional<Duration> duration = ParseDuration(node.text);
  if (!duration) {
    return Fault(Quoted(node.text) + " is no duration",
                 "write a number and its unit (" + std::string(kDurationUnits) +
                     "), such as \"250ms\"");
  }
  return *duration;
}

FieldValue<Duration> ReadPositiveDuration(const JsonNode& node) {
  FieldValue<Duration> duration = ReadDuration(node);
  if (duration && *duration == Duration::zero()) {
    return Fault("the duration is 0", "write one above 0");
  }
  return duration;
}

FieldValue<Endpoint> ReadEndpoint(const JsonNode& node) {
  if (node.kind != JsonKind::kString) {
    return WrongType(node, "an address");
  }
  std::optional<Endpoint> endpoint = ParseEndpoint(node.text);
  if (!endpoint) {
    return Fault(Quoted(node.text) + " is no IP number with a port",
                 "write one such as \"127.0.0.1:7001\" or \"[::1]:7001\"");
  }
  return *std::move(endpoint);
}

FieldValue<size_t> ReadWord(const JsonNode& node,
                            std::span<const std::string_view> words) {
  std::string list;
  for (const std::string_view word : words) {
    list += (list.empty() ? "\"" : " or \"") + std::string(word) + "\"";
  }
  if (node.kind != JsonKind::kString) {
    return WrongType(node, list);
  }
  const auto found = std::find(words.begin(), words.end(), node.text);
  if (found == words.end()) {
    const auto nearest = NearestName(node.text, words);
    return Fault(
        Quoted(node.text) + " is not known here",
        "write " + (nearest ? "\"" + std::string(*nearest) + "\"" : list));
  }
  return static_cast<size_t>(found - words.begin());
}

}  // namespace knapweedroad
