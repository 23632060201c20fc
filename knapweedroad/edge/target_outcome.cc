#include "knapweedroad/edge/target_outcome.h"

#include "knapweedroad/edge/answer_verdict.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

TargetOutcome LearnAnswer(LoadBalancer& balancer,
                          const TargetId& target,
                          const TargetReply& reply,
                          bool is_scatter,
                          Duration took,
                          TimePoint now) {
  switch (JudgeAnswer(reply, is_scatter)) {
    case AnswerVerdict::kOtherTarget:
      balancer.OnOtherTargetAnswered(target, now);
      return {.outcome = AttemptOutcome::kDeclined,
              .word = "other_target",
              .is_other_target = true};
    case AnswerVerdict::kDeclined:
      balancer.OnDeclined(target, reply.load, now);
      return {.outcome = AttemptOutcome::kDeclined, .word = "declined"};
    case AnswerVerdict::kUnproven:
      balancer.OnFailed(target, now);
      return {.outcome = AttemptOutcome::kBroken, .word = "unproven"};
    case AnswerVerdict::kFailed:
      balancer.OnFailed(target, now);
      return {.outcome = AttemptOutcome::kFailure, .word = "failed"};
    case AnswerVerdict::kServed:
      balancer.OnAnswered(target, took, reply.load, now);
      return {.outcome = AttemptOutcome::kAnswer, .is_served = true};
    case AnswerVerdict::kCallersFault:
      balancer.OnAnswered(target, took, reply.load, now);
      return {.outcome = AttemptOutcome::kAnswer};
  }
  return {};
}

}  // namespace

TargetOutcome LearnOutcome(LoadBalancer& balancer,
                           const TargetId& target,
                           const TargetReply& reply,
                           bool is_scatter,
                           Duration took,
                           TimePoint now) {
  switch (reply.kind) {
    case ReplyKind::kAnswered:
      return LearnAnswer(balancer, target, reply, is_scatter, took, now);
    case ReplyKind::kUnreachable:
      balancer.OnUnreachable(target, now);
      return {.outcome = AttemptOutcome::kNeverSent, .word = "unreachable"};
    case ReplyKind::kRejected:
      balancer.OnConnectionRejected(target, now);
      return {.outcome = AttemptOutcome::kNeverSent,
              .word = "connection_rejected"};
    case ReplyKind::kDisconnected:
      balancer.OnBroken(target, now);
      return {.outcome = AttemptOutcome::kBroken, .word = "disconnected"};
    case ReplyKind::kBroken:
      break;
  }
  balancer.OnBroken(target, now);
  return {.outcome = AttemptOutcome::kBroken, .word = "broken"};
}

bool IsAnswer(const TargetReply& reply) {
  return reply.kind == ReplyKind::kAnswered && !reply.answer.seal.empty() &&
         !reply.says_not_run;
}

void LearnReleased(LoadBalancer& balancer,
                   const TargetId& target,
                   const TargetReply& reply,
                   Duration since_sent,
                   TimePoint now) {
  if (IsAnswer(reply)) {
    balancer.OnAnswered(target, reply.latency, reply.load, now);
  } else {
    balancer.OnAbandoned(target, since_sent, now);
  }
}

}  // namespace knapweedroad
