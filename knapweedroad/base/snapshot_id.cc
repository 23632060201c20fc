#include "knapweedroad/base/snapshot_id.h"

#include <charconv>

namespace knapweedroad {
namespace {

template <typename Number>
bool ParseWhole(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && rest == end;
}

}  // namespace

std::string SnapshotId::ToString() const {
  return std::to_string(this->generation) + "." +
         std::to_string(this->index_version);
}

tl::expected<SnapshotId, std::string> SnapshotId::Parse(std::string_view text) {
  SnapshotId snapshot;
  const size_t dot = text.find('.');
  if (dot == std::string_view::npos ||
      !ParseWhole(text.substr(0, dot), snapshot.generation) ||
      !ParseWhole(text.substr(dot + 1), snapshot.index_version)) {
    return tl::unexpected("snapshot '" + std::string(text) +
                          "' is not GENERATION.VERSION, such as 2.17");
  }
  return snapshot;
}

}  // namespace knapweedroad
