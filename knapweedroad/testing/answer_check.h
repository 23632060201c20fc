// The comparison of one answer with the truth; the parts of HistoryChecker
// that need no memory.

#ifndef KNAPWEEDROAD_TESTING_ANSWER_CHECK_H_
#define KNAPWEEDROAD_TESTING_ANSWER_CHECK_H_

#include <optional>
#include <string>

#include "knapweedroad/testing/broken_promise.h"
#include "knapweedroad/testing/call_record.h"

namespace knapweedroad {

struct FrontTruth;

struct AnswerFault {
  PromiseKind kind = PromiseKind::kMalformed;
  std::string detail;
};

// The first fault of a query's 200 answer.
std::optional<AnswerFault> FindQueryFault(const FrontTruth& truth,
                                          const CallRecord& call);

// The first fault of a record's 200 answer.
std::optional<AnswerFault> FindRecordFault(const CallRecord& call);

// The first fault of a problem answer.
std::optional<AnswerFault> FindProblemFault(const CallRecord& call);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_ANSWER_CHECK_H_
