#include "knapweedroad/query/record_run.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {

RecordRun::RecordRun(RecordRunOptions options)
    : options(std::move(options)),
      answer_by(AnswerBy(this->options.start,
                         this->options.deadline,
                         this->options.return_margin)),
      call(this->options.service, std::nullopt) {}

RecordStep RecordRun::Start(TimePoint now) {
  RecordStep step;
  if (now < this->answer_by) {
    this->call.Start(this->Context(), now, step.actions);
  }
  this->RefuseIfFailedOrLate(now, step);
  return step;
}

RecordStep RecordRun::OnReply(const AttemptId& attempt,
                              RecordReply reply,
                              TimePoint now) {
  RecordStep step;
  if (const auto taken = this->call.TakeAttempt(attempt)) {
    this->call.OnAnswered(this->Context(), *taken, now, step.actions);
    this->is_finished = true;
    step.result = std::move(reply);
  }
  return step;
}

RecordStep RecordRun::OnFailure(const AttemptId& attempt,
                                const TargetAttemptFailure& failure,
                                TimePoint now) {
  RecordStep step;
  if (const auto taken = this->call.TakeAttempt(attempt)) {
    this->any_run = this->any_run || failure.outcome == RunOutcome::kRun;
    this->any_unknown =
        this->any_unknown || failure.outcome == RunOutcome::kUnknown;
    this->any_invalid_reply =
        this->any_invalid_reply || failure.kind == FailureKind::kInvalidReply;
    this->call.OnFailed(this->Context(), *taken, failure, now, step.actions);
    this->RefuseIfFailedOrLate(now, step);
  }
  return step;
}

RecordStep RecordRun::OnTimer(TimePoint now) {
  RecordStep step;
  this->RefuseIfFailedOrLate(now, step);
  if (!this->is_finished) {
    this->call.OnTimer(this->Context(), now, step.actions);
    this->RefuseIfFailedOrLate(now, step);
  }
  return step;
}

RecordStep RecordRun::Abandon(TimePoint now) {
  RecordStep step;
  if (!this->is_finished) {
    this->call.CancelInFlight(this->Context(), now, step.actions);
    this->is_finished = true;
  }
  return step;
}

std::optional<TimePoint> RecordRun::NextWake() const {
  if (this->is_finished) {
    return std::nullopt;
  }
  return std::min(this->answer_by,
                  this->call.NextWake().value_or(this->answer_by));
}

CallContext RecordRun::Context() {
  return {.front = this->options.front,
          .own_zone = this->options.own_zone,
          .answer_by = this->answer_by,
          .state = this->options.state,
          .hooks = this->options.hooks,
          .stats = this->run_stats};
}

void RecordRun::RefuseIfFailedOrLate(TimePoint now, RecordStep& step) {
  const bool call_failed = this->call.state() == ServiceCall::State::kFailed;
  if (this->is_finished || (now < this->answer_by && !call_failed)) {
    return;
  }
  this->any_unknown = this->any_unknown || this->call.has_in_flight();
  this->call.CancelInFlight(this->Context(), now, step.actions);
  this->is_finished = true;
  step.result = this->MakeRefusal(now);
}

QueryRefusal RecordRun::MakeRefusal(TimePoint now) const {
  QueryRefusal refusal{
      .status = 503,
      .title = "No target",
      .detail = "no target could answer before the deadline",
      .outcome = RunOutcome::kNotRun,
      .retry_after = this->call.retry_after().value_or(kDefaultRetryAfter)};
  if (now >= this->answer_by) {
    refusal.status = 504;
    refusal.title = "Deadline passed";
  } else if (this->any_invalid_reply) {
    refusal.status = 502;
    refusal.title = "Broken answer";
    refusal.detail = "a target's answer could not be used";
  }
  if (this->any_run) {
    refusal.outcome = RunOutcome::kRun;
  } else if (this->any_unknown) {
    refusal.outcome = RunOutcome::kUnknown;
  }
  return refusal;
}

}  // namespace knapweedroad
