#include "review/stand_ins_2/wire.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace review {
namespace {

Values& All() {
  static Values values;
  return values;
}

}  // namespace

void LoadWire(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const size_t equals = line.find('=');
    if (!line.empty() && line.front() != '#' && equals != std::string::npos) {
      All()[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }
  if (All().empty()) {
    std::cerr << "can't read " << path << "\n";
    std::exit(2);
  }
}

const std::string& Wire(const std::string& key) {
  const auto found = All().find(key);
  if (found == All().end()) {
    std::cerr << "no wire name " << key << "\n";
    std::exit(2);
  }
  return found->second;
}

std::string Fill(const std::string& key, const Values& values) {
  std::string text = Wire(key);
  for (const auto& [name, value] : values) {
    const std::string mark = "$" + name;
    for (size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + value.size())) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

}  // namespace review
