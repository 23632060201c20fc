#include "knapweedroad/edge/answer_verdict.h"

#include <criterion/criterion.h>

#include <string>

#include "knapweedroad/edge/target_reply.h"

namespace knapweedroad {
namespace {

TargetReply Reply(int status, const std::string& seal) {
  return {.kind = ReplyKind::kAnswered,
          .answer = {.status = status, .seal = seal}};
}

// Guards against bytes of somebody else that are merged as a target's part.
Test(answer_verdict, a_success_without_proof_is_not_the_targets) {
  cr_expect(JudgeAnswer(Reply(200, ""), true) == AnswerVerdict::kUnproven);
  cr_expect(JudgeAnswer(Reply(200, "proof"), true) == AnswerVerdict::kServed);
}

// Guards against a caller that is told "not run" although it may have run.
Test(answer_verdict, a_refusal_is_believed_only_with_the_targets_word) {
  TargetReply reply = Reply(503, "");
  cr_expect(JudgeAnswer(reply, false) == AnswerVerdict::kUnproven);
  cr_expect(JudgeAnswer(Reply(429, "proof"), false) ==
            AnswerVerdict::kUnproven);
  reply.says_not_run = true;
  cr_expect(JudgeAnswer(reply, false) == AnswerVerdict::kDeclined);
}

// Guards against a healthy target that is ejected for its callers' faults, and
// against a scatter that counts such an answer as a part.
Test(answer_verdict, a_callers_fault_is_no_failure_but_in_a_scatter) {
  cr_expect(JudgeAnswer(Reply(404, "proof"), false) ==
            AnswerVerdict::kCallersFault);
  cr_expect(JudgeAnswer(Reply(404, "proof"), true) == AnswerVerdict::kFailed);
  cr_expect(JudgeAnswer(Reply(500, "proof"), false) == AnswerVerdict::kFailed);
}

// Guards against work for one target that another one at its address is
// charged with.
Test(answer_verdict, another_target_at_the_address_ran_nothing) {
  cr_expect(JudgeAnswer(Reply(421, ""), true) == AnswerVerdict::kOtherTarget);
}

}  // namespace
}  // namespace knapweedroad
