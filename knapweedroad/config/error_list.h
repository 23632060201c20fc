// Gathers the faults of one file, so that all are reported at once.

#ifndef KNAPWEEDROAD_CONFIG_ERROR_LIST_H_
#define KNAPWEEDROAD_CONFIG_ERROR_LIST_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/json_node.h"

namespace knapweedroad {

class ErrorList {
 public:
  explicit ErrorList(std::string_view file_name) : file_name(file_name) {}

  void Add(JsonPosition position,
           std::string path,
           std::string message,
           std::string remedy);

  // The remedy for a name that isn't known: asks whether the nearest of `known`
  // was meant, else it is `otherwise`.
  //
  // Guards against a file with thousands of wrong names, each of which would be
  // compared with hundreds: 1 MB of them held a host's thread for 24 s. Only
  // the first `kMaxSuggestions` are looked up, which bounds the work of a file.
  std::string Suggest(std::string_view name,
                      std::span<const std::string_view> known,
                      std::string otherwise);

  static constexpr size_t kMaxSuggestions = 100;

  bool empty() const { return this->errors.empty(); }

  // The faults in the order in which they stand in the file. Leaves none.
  std::vector<ConfigError> Take();

 private:
  std::string file_name;
  std::vector<ConfigError> errors;
  size_t suggestions = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_ERROR_LIST_H_
