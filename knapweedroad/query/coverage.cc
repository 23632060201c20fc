#include "knapweedroad/query/coverage.h"

#include <algorithm>
#include <cstdio>

namespace knapweedroad {
namespace {

constexpr uint64_t kStepCount = 10'000;

// Returns the covered share in steps of 1 / kStepCount, rounded down. Uses
// integers only: 9,999,999 of 10,000,000 units must not round up to 1.
uint64_t CompletedSteps(const Coverage& coverage) {
  if (coverage.units_total == 0) {
    return 0;
  }
  const uint64_t answered =
      std::min(coverage.units_answered, coverage.units_total);
  return answered * kStepCount / coverage.units_total;
}

}  // namespace

double Coverage::Value() const {
  return static_cast<double>(CompletedSteps(*this)) / kStepCount;
}

std::string Coverage::ToText() const {
  const uint64_t steps = CompletedSteps(*this);
  char text[16];
  std::snprintf(text, sizeof(text), "%u.%04u",
                static_cast<unsigned>(steps / kStepCount),
                static_cast<unsigned>(steps % kStepCount));
  return text;
}

bool Coverage::IsComplete() const {
  return this->units_total > 0 && this->units_answered >= this->units_total;
}

bool Coverage::Reaches(double share) const {
  return static_cast<double>(this->units_answered) >=
         share * static_cast<double>(this->units_total);
}

bool CoversMore(const Coverage& left, const Coverage& right) {
  return left.units_answered * right.units_total >
         right.units_answered * left.units_total;
}

uint64_t TotalUnits(const GenerationConfig& generation) {
  uint64_t total = 0;
  for (const auto& [service, units] : generation.units) {
    total += units;
  }
  return total;
}

}  // namespace knapweedroad
