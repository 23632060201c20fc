#include "knapweedroad/query/lookup_run.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/query/replica_choice.h"

namespace knapweedroad {
namespace {

QueryRefusal DeadlinePassed(RunOutcome outcome) {
  return {.status = 504,
          .title = "Deadline passed",
          .detail = "no answer before the deadline",
          .outcome = outcome};
}

}  // namespace

LookupRun::LookupRun(LookupRunOptions options)
    : options(std::move(options)),
      answer_by(AnswerBy(this->options.start,
                         this->options.deadline,
                         this->options.return_margin)) {}

RecordStep LookupRun::Start(TimePoint now) {
  RecordStep step;
  this->SendOrRefuse(now, step);
  return step;
}

RecordStep LookupRun::OnReply(const AttemptId& attempt,
                              RecordReply reply,
                              TimePoint /*now*/) {
  RecordStep step;
  if (this->in_flight && this->in_flight->id == attempt) {
    this->in_flight.reset();
    this->is_finished = true;
    step.result = std::move(reply);
  }
  return step;
}

RecordStep LookupRun::OnFailure(const AttemptId& attempt,
                                const TargetAttemptFailure& failure,
                                TimePoint now) {
  RecordStep step;
  if (!this->in_flight || this->in_flight->id != attempt) {
    return step;
  }
  this->in_flight.reset();
  if (failure.outcome != RunOutcome::kNotRun) {
    const bool timeout = failure.kind == FailureKind::kTimeout;
    this->Refuse({.status = timeout ? 504 : 502,
                  .title = timeout ? "Deadline passed" : "No usable answer",
                  .detail = "it was sent, and no usable answer came back",
                  .outcome = failure.outcome},
                 step);
    return step;
  }
  if (failure.retry_after) {
    this->shortest_retry_after =
        std::min(*failure.retry_after,
                 this->shortest_retry_after.value_or(Duration::max()));
  }
  this->SendOrRefuse(now, step);
  return step;
}

RecordStep LookupRun::OnTimer(TimePoint now) {
  RecordStep step;
  if (this->is_finished || now < this->answer_by) {
    return step;
  }
  if (!this->in_flight) {
    this->Refuse(DeadlinePassed(RunOutcome::kNotRun), step);
    return step;
  }
  step.actions.emplace_back(
      CancelAttempt{this->in_flight->id, this->in_flight->target});
  this->in_flight.reset();
  this->Refuse(DeadlinePassed(RunOutcome::kUnknown), step);
  return step;
}

std::optional<TimePoint> LookupRun::NextWake() const {
  if (this->is_finished) {
    return std::nullopt;
  }
  return this->answer_by;
}

void LookupRun::SendOrRefuse(TimePoint now, RecordStep& step) {
  if (now >= this->answer_by) {
    this->Refuse(DeadlinePassed(RunOutcome::kNotRun), step);
    return;
  }
  const auto candidates = this->options.hooks.candidates(this->options.service);
  const ServiceConfig& config =
      ServiceConfigOrDefault(this->options.front, this->options.service);
  const auto choice =
      ChooseReplica(candidates, {.own_zone = this->options.own_zone,
                                 .snapshot = std::nullopt,
                                 .excluded = this->tried_targets,
                                 .slots = config.slots,
                                 .cold_slots = config.cold_slots,
                                 .random = this->options.hooks.random});
  if (!choice) {
    this->Refuse({.status = 503,
                  .title = "No target",
                  .detail = "no target has room for it",
                  .outcome = RunOutcome::kNotRun,
                  .retry_after =
                      this->shortest_retry_after.value_or(kDefaultRetryAfter)},
                 step);
    return;
  }
  this->in_flight = InFlightAttempt{.id = this->options.hooks.next_attempt_id(),
                                    .target = choice->target,
                                    .zone = choice->zone,
                                    .sent = now};
  const AttemptPurpose purpose = this->tried_targets.empty()
                                     ? AttemptPurpose::kFirst
                                     : AttemptPurpose::kRetry;
  this->tried_targets.push_back(choice->target);
  step.actions.emplace_back(SendAttempt{.attempt = this->in_flight->id,
                                        .service = this->options.service,
                                        .target = choice->target,
                                        .snapshot = {},
                                        .deadline = this->answer_by,
                                        .purpose = purpose});
}

void LookupRun::Refuse(QueryRefusal refusal, RecordStep& step) {
  this->is_finished = true;
  step.result = std::move(refusal);
}

}  // namespace knapweedroad
