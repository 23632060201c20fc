#include "knapweedroad/config/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace knapweedroad {
namespace {

constexpr size_t kMaxLength = 64;
constexpr size_t kMaxKnown = 200;

// Levenshtein distance, row by row.
size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::optional<std::string_view> NearestName(
    std::string_view name,
    std::span<const std::string_view> known) {
  if (name.size() > kMaxLength || known.size() > kMaxKnown) {
    return std::nullopt;
  }
  size_t best_distance = name.size() / 2 + 1;
  std::optional<std::string_view> best;
  for (const std::string_view candidate : known) {
    const size_t distance = EditDistance(name, candidate);
    if (distance < best_distance) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

}  // namespace knapweedroad
