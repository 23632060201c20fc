#include "knapweedroad/config/error_list.h"

#include <algorithm>
#include <tuple>
#include <utility>

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

std::vector<ConfigError> ErrorList::Take() {
  const auto earlier = [](const ConfigError& a, const ConfigError& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  };
  std::stable_sort(this->errors.begin(), this->errors.end(), earlier);
  return std::exchange(this->errors, {});
}

}  // namespace knapweedroad
