// What is known about a request that got no plain answer.

#ifndef KNAPWEEDROAD_BASE_RUN_OUTCOME_H_
#define KNAPWEEDROAD_BASE_RUN_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace knapweedroad {

// `kNotRun` is claimed only with proof: the request was never written to a
// socket towards a target, or the target itself said so. All doubt is
// `kUnknown`.
enum class RunOutcome : uint8_t { kNotRun, kRun, kUnknown };

// "not_run", "run", "unknown": the words of headers and problem bodies.
constexpr std::string_view ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kNotRun:
      return "not_run";
    case RunOutcome::kRun:
      return "run";
    case RunOutcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_RUN_OUTCOME_H_
