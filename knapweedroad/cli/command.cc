#include "knapweedroad/cli/command.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <glog/logging.h>

namespace knapweedroad {

void Complain(std::string_view text) {
  std::cerr << "knapweedroad: " << text << "\n";
}

std::optional<std::string> ReadFileOrComplain(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    Complain("can't read " + path + "; check the name and its permissions");
    return std::nullopt;
  }
  return std::move(text).str();
}

void EndServer(int code) {
  std::cout.flush();
  google::FlushLogFiles(google::INFO);
  std::quick_exit(code);
}

int UsageError(const Command& command, std::string_view text) {
  Complain(std::string(command.name) + ": " + std::string(text) +
           "; see knapweedroad " + std::string(command.name) + " --help");
  return kExitUsage;
}

}  // namespace knapweedroad
