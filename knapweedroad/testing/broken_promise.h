// A promise to callers that a history shows broken.

#ifndef KNAPWEEDROAD_TESTING_BROKEN_PROMISE_H_
#define KNAPWEEDROAD_TESTING_BROKEN_PROMISE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedroad {

enum class PromiseKind : uint8_t {
  // The answer isn't in the form that docs/PROTOCOLS.md gives it.
  kMalformed,
  // It is another request's answer.
  kWrongRequest,
  // A hit or record that the snapshot doesn't hold for this request.
  kWrongHits,
  // Coverage that isn't what the hits cover, or is of a wrong total.
  kWrongCoverage,
  // "not run", and a target ran it.
  kNotRunButRan,
  // A key was executed more than once.
  kKeyRanTwice,
};

constexpr std::string_view ToString(PromiseKind kind) {
  switch (kind) {
    case PromiseKind::kMalformed:
      return "malformed_answer";
    case PromiseKind::kWrongRequest:
      return "answer_of_another_request";
    case PromiseKind::kWrongHits:
      return "hits_not_of_the_snapshot";
    case PromiseKind::kWrongCoverage:
      return "coverage_not_true";
    case PromiseKind::kNotRunButRan:
      return "not_run_but_ran";
    case PromiseKind::kKeyRanTwice:
      break;
  }
  return "key_ran_twice";
}

struct BrokenPromise {
  PromiseKind kind = PromiseKind::kMalformed;
  std::string request_id;
  std::string detail;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_BROKEN_PROMISE_H_
