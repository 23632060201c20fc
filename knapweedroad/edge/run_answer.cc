#include "knapweedroad/edge/run_answer.h"

#include <optional>
#include <utility>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_refusal.h"
#include "knapweedroad/edge/parts_answer.h"
#include "knapweedroad/routing/request_run.h"

namespace knapweedroad {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

CallerAnswer Refusal(int status,
                     std::optional<Duration> retry_after,
                     bool is_diverting) {
  CallerAnswer answer = MakeRefusal(status, retry_after);
  answer.closes = is_diverting;
  return answer;
}

}  // namespace

CallerAnswer MakeRunAnswer(RunEnd& end, const RunAnswerOptions& options) {
  switch (end.kind) {
    case RunEndKind::kAnswer:
      return {.status = end.answer.status,
              .header = std::move(end.answer.header),
              .body = std::move(end.answer.body)};
    case RunEndKind::kParts:
      return MakePartsAnswer(options.header_names, end, options.top_records);
    case RunEndKind::kNotRun:
      return Refusal(kUnavailable, end.retry_after, options.is_diverting);
    case RunEndKind::kExpired:
      return Refusal(kGatewayTimeout, std::nullopt, options.is_diverting);
    case RunEndKind::kFailed:
      break;
  }
  return Refusal(kBadGateway,
                 end.retry_after > Duration::zero()
                     ? std::optional(end.retry_after)
                     : std::nullopt,
                 options.is_diverting);
}

}  // namespace knapweedroad
