#include "review/stand_ins/record.h"

namespace review {

Record::Record(const std::string& path) : out(path), started(Clock::now()) {}

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->out << this->At(Clock::now()) << " " << line << std::endl;
}

int64_t Record::At(TimePoint time) const {
  return std::chrono::duration_cast<Milliseconds>(time - this->started).count();
}

}  // namespace review
