#include "knapweedroad/config/config_error.h"

namespace knapweedroad {

std::string ConfigError::ToString() const {
  const std::string& place = this->path.empty() ? "(root)" : this->path;
  return this->file + ":" + std::to_string(this->line) + ":" +
         std::to_string(this->column) + ": " + place + ": " + this->message +
         "; " + this->remedy;
}

}  // namespace knapweedroad
