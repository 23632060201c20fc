// The share of an index that an answer covers, counted in index units.
//
//   Coverage coverage{.units_answered = 90, .units_total = 100};
//   coverage.Value();   // 0.9
//   coverage.ToText();  // "0.9000", as in the response header

#ifndef KNAPWEEDROAD_QUERY_COVERAGE_H_
#define KNAPWEEDROAD_QUERY_COVERAGE_H_

#include <cstdint>
#include <string>

#include "knapweedroad/config/generation_config.h"

namespace knapweedroad {

struct Coverage {
  uint64_t units_answered = 0;
  // From the generation's manifest; zero if there is no manifest.
  uint64_t units_total = 0;

  // Returns the covered share from 0 to 1, rounded down to a multiple of
  // 0.0001, so that only a complete answer is 1.
  double Value() const;

  // Returns Value() with four decimals.
  std::string ToText() const;

  // Returns true if all units were searched, and the total is known.
  bool IsComplete() const;

  // Returns true if at least this share (0 to 1) is covered, without rounding.
  bool Reaches(double share) const;

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

// Returns true if `left` covers a greater share than `right`, without rounding.
bool CoversMore(const Coverage& left, const Coverage& right);

// Returns the number of units of all services in the generation's manifest, the
// `units_total` of every answer from this generation.
uint64_t TotalUnits(const GenerationConfig& generation);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_COVERAGE_H_
