#include "knapweedroad/edge/answer_verdict.h"

#include "knapweedroad/edge/target_reply.h"

namespace knapweedroad {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerFault = 500;
constexpr int kUnavailable = 503;

// Statuses by which a target would promise that it ran nothing.
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

}  // namespace

AnswerVerdict JudgeAnswer(const TargetReply& reply, bool is_scatter) {
  const int status = reply.answer.status;
  const bool is_success = status >= kFirstSuccess && status < kFirstRedirect;
  if (status == kMisdirected) {
    return AnswerVerdict::kOtherTarget;
  }
  if (reply.says_not_run) {
    return AnswerVerdict::kDeclined;
  }
  if (reply.answer.seal.empty() || (!is_success && PromisesNotRun(status))) {
    return AnswerVerdict::kUnproven;
  }
  if (is_success) {
    return AnswerVerdict::kServed;
  }
  return status >= kFirstServerFault || is_scatter
             ? AnswerVerdict::kFailed
             : AnswerVerdict::kCallersFault;
}

}  // namespace knapweedroad
