#include "review/stand_ins_2/record.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>

namespace review {
namespace {

struct Record {
  std::mutex mutex;
  std::ofstream file;
  std::chrono::steady_clock::time_point began;
};

Record& Only() {
  static Record record;
  return record;
}

}  // namespace

void OpenRecord(const std::string& path) {
  Only().file.open(path);
  Only().began = std::chrono::steady_clock::now();
}

double Since() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Only().began)
      .count();
}

void Note(const std::string& line) {
  const std::lock_guard lock(Only().mutex);
  std::array<char, 32> time{};
  (void)std::snprintf(time.data(), time.size(), "%10.1f ", Since());
  Only().file << time.data() << line << "\n";
  Only().file.flush();
}

}  // namespace review
