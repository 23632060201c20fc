#include "knapweedroad/edge/attempt_log.h"

#include <chrono>

namespace knapweedroad {
namespace {

constexpr size_t kMostText = 600;

}  // namespace

void AttemptLog::Add(const AttemptNote& note) {
  if (this->lines.size() > kMostText) {
    return;
  }
  const auto ms = std::chrono::floor<std::chrono::milliseconds>(note.took);
  this->lines += note.target.str();
  this->lines += ':';
  this->lines += note.end;
  if (note.status != 0) {
    this->lines += std::to_string(note.status);
  }
  this->lines += "@" + std::to_string(ms.count()) + "ms ";
}

}  // namespace knapweedroad
