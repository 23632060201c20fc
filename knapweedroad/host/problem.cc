#include "knapweedroad/host/problem.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

bool SaysWhenToReturn(int status) {
  return status == 429 || status == 503;
}

}  // namespace

HttpResponse ProblemResponse(const QueryRefusal& refusal,
                             std::string_view request_id) {
  HttpResponse response{.status = refusal.status};
  nlohmann::json body = {
      {"type", "about:blank"},    {"title", refusal.title},
      {"status", refusal.status}, {"detail", refusal.detail},
      {"request_id", request_id}, {"outcome", ToString(refusal.outcome)}};
  if (SaysWhenToReturn(refusal.status)) {
    const auto wait =
        std::chrono::ceil<std::chrono::milliseconds>(refusal.retry_after);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    body["retry_after_ms"] = wait.count();
    response.headers["Retry-After"] =
        std::to_string(std::max<int64_t>(1, seconds.count()));
  }
  response.headers["Content-Type"] = "application/problem+json";
  response.headers["Knapweed-Request-Id"] = std::string(request_id);
  response.headers["Knapweed-Outcome"] = std::string(ToString(refusal.outcome));
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

QueryRefusal BadRequest(int status, std::string title, std::string detail) {
  return {.status = status,
          .title = std::move(title),
          .detail = std::move(detail),
          .outcome = RunOutcome::kNotRun};
}

}  // namespace knapweedroad
