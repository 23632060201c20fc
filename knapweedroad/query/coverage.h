// How much of an index an answer covers.
//
//   Coverage coverage{.units_answered = 90, .units_total = 100};
//   coverage.Value();   // 0.9
//   coverage.ToText();  // "0.9000", the form of the header

#ifndef KNAPWEEDROAD_QUERY_COVERAGE_H_
#define KNAPWEEDROAD_QUERY_COVERAGE_H_

#include <cstdint>
#include <string>

#include "knapweedroad/config/generation_config.h"

namespace knapweedroad {

struct Coverage {
  uint64_t units_answered = 0;
  // From the generation's manifest; zero only where there is no manifest.
  uint64_t units_total = 0;

  // From 0 to 1 in steps of 0.0001, rounded down: only a whole answer is 1.
  double Value() const;

  // Value() with four decimals.
  std::string ToText() const;

  bool IsComplete() const;

  // Whether at least this share (0 to 1) is covered, unrounded.
  bool Reaches(double share) const;

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

// Whether `left` covers a greater share than `right`, without rounding.
bool CoversMore(const Coverage& left, const Coverage& right);

// The denominator of every answer under this generation.
uint64_t TotalUnits(const GenerationConfig& generation);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_COVERAGE_H_
