// What a target's whole answer to one attempt means.

#ifndef KNAPWEEDROAD_EDGE_ANSWER_VERDICT_H_
#define KNAPWEEDROAD_EDGE_ANSWER_VERDICT_H_

#include <cstdint>

namespace knapweedroad {

struct TargetReply;

enum class AnswerVerdict : uint8_t {
  kServed,
  // Another target than the one asked is at its address; it ran nothing.
  kOtherTarget,
  // It says that it ran nothing.
  kDeclined,
  // Without proof where one is due: a success isn't the target's, and a refusal
  // may have run, so that passing it on would promise the contrary.
  kUnproven,
  // A failure of its own.
  kFailed,
  // The caller's fault by the target's word: another target says the same.
  kCallersFault,
};

// `reply` is of the kind kAnswered.
AnswerVerdict JudgeAnswer(const TargetReply& reply, bool is_scatter);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ANSWER_VERDICT_H_
