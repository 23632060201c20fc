#include "knapweedroad/config/error_list.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "knapweedroad/config/field_value.h"
#include "knapweedroad/config/nearest_name.h"

namespace knapweedroad {

void ErrorList::Add(JsonPosition position,
                    std::string path,
                    std::string message,
                    std::string remedy) {
  this->errors.push_back({
      .file = this->file_name,
      .line = position.line,
      .column = position.column,
      .path = std::move(path),
      .message = std::move(message),
      .remedy = std::move(remedy),
  });
}

std::string ErrorList::Suggest(std::string_view name,
                               std::span<const std::string_view> known,
                               std::string otherwise) {
  if (this->suggestions == kMaxSuggestions) {
    return otherwise;
  }
  ++this->suggestions;
  const auto nearest = NearestName(name, known);
  return nearest ? "did you mean " + Quoted(*nearest) + "?" : otherwise;
}

std::vector<ConfigError> ErrorList::Take() {
  const auto earlier = [](const ConfigError& a, const ConfigError& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  };
  std::stable_sort(this->errors.begin(), this->errors.end(), earlier);
  return std::exchange(this->errors, {});
}

}  // namespace knapweedroad
