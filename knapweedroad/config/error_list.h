// Gathers the faults of one file, so that all are reported at once.

#ifndef KNAPWEEDROAD_CONFIG_ERROR_LIST_H_
#define KNAPWEEDROAD_CONFIG_ERROR_LIST_H_

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

  bool empty() const { return this->errors.empty(); }

  // The faults in the order in which they stand in the file. Leaves none.
  std::vector<ConfigError> Take();

 private:
  std::string file_name;
  std::vector<ConfigError> errors;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_ERROR_LIST_H_
