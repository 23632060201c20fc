// The tier's error answers: `application/problem+json` with a true outcome.
//
//   return ProblemResponse({.status = 503, .title = "Overloaded",
//                           .outcome = RunOutcome::kNotRun,
//                           .retry_after = 400ms}, request_id);

#ifndef KNAPWEEDROAD_HOST_PROBLEM_H_
#define KNAPWEEDROAD_HOST_PROBLEM_H_

#include <string>
#include <string_view>

#include "knapweedroad/net/http_message.h"
#include "knapweedroad/query/query_answer.h"

namespace knapweedroad {

// 429 and 503 carry `Retry-After` in whole seconds, rounded up and at least 1,
// and the exact time in the body.
HttpResponse ProblemResponse(const QueryRefusal& refusal,
                             std::string_view request_id);

// A request that can't be understood: `not_run`, nothing to retry.
QueryRefusal BadRequest(int status, std::string title, std::string detail);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_PROBLEM_H_
