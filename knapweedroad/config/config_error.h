// One fault of a configuration or settings file, with its place and remedy.
//
//   for (const ConfigError& error : parsed.error()) {
//     std::cerr << error.ToString() << "\n";
//   }

#ifndef KNAPWEEDROAD_CONFIG_CONFIG_ERROR_H_
#define KNAPWEEDROAD_CONFIG_CONFIG_ERROR_H_

#include <cstddef>
#include <string>

namespace knapweedroad {

struct ConfigError {
  std::string file;
  // Both count from 1; the column counts bytes.
  size_t line = 1;
  size_t column = 1;
  // The value's path, such as "fronts[2].services[0].slots"; empty for the
  // whole document.
  std::string path;
  std::string message;
  // What to do about it.
  std::string remedy;

  // "FILE:LINE:COLUMN: PATH: MESSAGE; REMEDY"; the path of the whole document
  // is written "(root)".
  std::string ToString() const;

  friend bool operator==(const ConfigError&, const ConfigError&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_CONFIG_ERROR_H_
