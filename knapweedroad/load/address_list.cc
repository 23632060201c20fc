#include "knapweedroad/load/address_list.h"

#include <charconv>
#include <optional>

namespace knapweedroad {
namespace {

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

tl::expected<void, std::string> AddEntry(std::string_view entry,
                                         std::vector<Endpoint>& list) {
  const size_t colon = entry.rfind(':');
  const std::string_view ip = entry.substr(0, colon);
  const std::string_view ports =
      colon == std::string_view::npos ? "" : entry.substr(colon + 1);
  const size_t dash = ports.find('-');
  const auto first = ParsePort(ports.substr(0, dash));
  const auto last = dash == std::string_view::npos
                        ? first
                        : ParsePort(ports.substr(dash + 1));
  if (ip.empty() || !first || !last || *last < *first) {
    return tl::unexpected("'" + std::string(entry) +
                          "' is not IP:PORT or IP:FIRST-LAST");
  }
  for (uint32_t port = *first; port <= *last; ++port) {
    list.push_back(
        {.ip = std::string(ip), .port = static_cast<uint16_t>(port)});
  }
  return {};
}

}  // namespace

tl::expected<std::vector<Endpoint>, std::string> ParseAddressList(
    std::string_view text) {
  std::vector<Endpoint> list;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    if (auto added = AddEntry(text.substr(0, comma), list); !added) {
      return tl::unexpected(added.error());
    }
    if (comma == std::string_view::npos) {
      break;
    }
    text.remove_prefix(comma + 1);
  }
  return list;
}

}  // namespace knapweedroad
