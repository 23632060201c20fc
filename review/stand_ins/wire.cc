#include "review/stand_ins/wire.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace review {
namespace {

constexpr const char* kFile = "review/stand_ins/wire.txt";
constexpr int kCouldNotRun = 2;

// Each line holds a name, a space and the text.
std::map<std::string, std::string> ReadTexts() {
  std::map<std::string, std::string> texts;
  std::ifstream in(kFile);
  std::string name;
  std::string text;
  while (in >> name && std::getline(in >> std::ws, text)) {
    texts[name] = text;
  }
  return texts;
}

}  // namespace

std::string WireText(const std::string& name,
                     const std::map<std::string, std::string>& values) {
  static const std::map<std::string, std::string> texts = ReadTexts();
  const auto found = texts.find(name);
  if (found == texts.end()) {
    std::cerr << kFile << " has no " << name << "\n";
    std::exit(kCouldNotRun);
  }
  std::string text = found->second;
  for (const auto& [key, value] : values) {
    const std::string mark = "@" + key + "@";
    for (size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + value.size())) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

}  // namespace review
