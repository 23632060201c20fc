#include "knapweedroad/query/query_run.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "knapweedroad/query/hit_merge.h"
#include "knapweedroad/query/replica_choice.h"

namespace knapweedroad {
namespace {

constexpr uint32_t kMaxRestarts = 2;

}  // namespace

QueryRun::QueryRun(QueryRunOptions options)
    : options(std::move(options)),
      answer_by(AnswerBy(this->options.start,
                         this->options.deadline,
                         this->options.return_margin)) {}

QueryActions QueryRun::Start(TimePoint now) {
  QueryActions actions;
  if (now >= this->answer_by) {
    this->Refuse(
        {.status = 504,
         .title = "Deadline passed",
         .detail =
             "the deadline passed before the query was sent to any target",
         .outcome = RunOutcome::kNotRun},
        actions);
    return actions;
  }
  const auto choice = ChooseSnapshot(this->options.front, this->AllCandidates(),
                                     this->options.snapshot_policy);
  if (!choice) {
    this->Refuse(
        {.status = 503,
         .title = "No target",
         .detail =
             "no usable target holds a snapshot of a configured generation",
         .outcome = RunOutcome::kNotRun,
         .retry_after = kDefaultRetryAfter},
        actions);
    return actions;
  }
  this->PinSnapshot(choice->snapshot);
  // A query that cannot reach the minimum coverage sends no sub-requests.
  if (choice->reachable.Reaches(this->options.front.minimum_coverage)) {
    this->StartServices(now, actions);
  } else {
    this->Finish(now, actions);
    return actions;
  }
  this->FinishOrRestart(now, actions);
  return actions;
}

QueryActions QueryRun::OnReply(const AttemptId& attempt,
                               SearchReply reply,
                               TimePoint now) {
  QueryActions actions;
  // Only the ids of attempts in flight match, and a restart drops earlier ones:
  // a late reply may belong to another query or snapshot.
  for (ServiceProgress& service : this->services) {
    const auto taken = service.call.TakeAttempt(attempt);
    if (!taken) {
      continue;
    }
    this->any_run = true;
    if (reply.snapshot == this->pinned_snapshot) {
      service.units_answered = std::min(reply.units, service.units);
      service.hits = std::move(reply.hits);
      service.call.OnAnswered(this->Context(), *taken, now, actions);
    } else {
      this->run_stats.wrong_snapshots += 1;
      service.snapshot_missing = true;
      const TargetAttemptFailure failure{.outcome = RunOutcome::kRun,
                                         .kind = FailureKind::kInvalidReply};
      service.call.OnFailed(this->Context(), *taken, failure, now, actions);
    }
    this->FinishOrRestart(now, actions);
    break;
  }
  return actions;
}

QueryActions QueryRun::OnFailure(const AttemptId& attempt,
                                 const TargetAttemptFailure& failure,
                                 TimePoint now) {
  QueryActions actions;
  for (ServiceProgress& service : this->services) {
    const auto taken = service.call.TakeAttempt(attempt);
    if (!taken) {
      continue;
    }
    this->RecordOutcome(failure.outcome);
    service.snapshot_missing =
        service.snapshot_missing || failure.kind == FailureKind::kNoSnapshot;
    service.call.OnFailed(this->Context(), *taken, failure, now, actions);
    this->FinishOrRestart(now, actions);
    break;
  }
  return actions;
}

QueryActions QueryRun::OnTimer(TimePoint now) {
  QueryActions actions;
  this->FinishOrRestart(now, actions);
  for (ServiceProgress& service : this->services) {
    service.call.OnTimer(this->Context(), now, actions);
  }
  this->FinishOrRestart(now, actions);
  return actions;
}

QueryActions QueryRun::Abandon(TimePoint now) {
  QueryActions actions;
  if (!this->is_finished) {
    this->CancelAll(now, actions);
    this->is_finished = true;
  }
  return actions;
}

std::optional<TimePoint> QueryRun::NextWake() const {
  if (this->is_finished) {
    return std::nullopt;
  }
  TimePoint wake = this->answer_by;
  const FrontConfig& front = this->options.front;
  if (front.policy == AnswerPolicy::kTail &&
      this->AnsweredCoverage().Reaches(front.minimum_coverage)) {
    wake = std::min(wake, this->options.start + front.tail_target);
  }
  for (const ServiceProgress& service : this->services) {
    wake = std::min(wake, service.call.NextWake().value_or(wake));
  }
  return wake;
}

CallContext QueryRun::Context() {
  return {.front = this->options.front,
          .own_zone = this->options.own_zone,
          .answer_by = this->answer_by,
          .state = this->options.state,
          .hooks = this->options.hooks,
          .stats = this->run_stats};
}

CandidatesByService QueryRun::AllCandidates() const {
  CandidatesByService candidates;
  for (const GenerationConfig& generation : this->options.front.generations) {
    for (const auto& [service, units] : generation.units) {
      if (!candidates.contains(service)) {
        candidates.emplace(service, this->options.hooks.candidates(service));
      }
    }
  }
  return candidates;
}

void QueryRun::PinSnapshot(const SnapshotId& snapshot) {
  this->pinned_snapshot = snapshot;
  this->services.clear();
  const auto* generation =
      FindGeneration(this->options.front, snapshot.generation);
  for (const auto& [service, units] : generation->units) {
    this->services.push_back(
        {.call = ServiceCall(service, snapshot), .units = units});
  }
}

void QueryRun::StartServices(TimePoint now, QueryActions& actions) {
  for (ServiceProgress& service : this->services) {
    service.call.Start(this->Context(), now, actions);
  }
}

void QueryRun::FinishOrRestart(TimePoint now, QueryActions& actions) {
  if (this->is_finished || this->TryRestart(now, actions)) {
    return;
  }
  const bool below_minimum =
      !this->ReachableCoverage().Reaches(this->options.front.minimum_coverage);
  if (!this->AnyPending() || below_minimum ||
      this->CanFinishAtTailTarget(now) || now >= this->answer_by) {
    this->Finish(now, actions);
  }
}

bool QueryRun::CanFinishAtTailTarget(TimePoint now) const {
  const FrontConfig& front = this->options.front;
  const Coverage answered = this->AnsweredCoverage();
  return front.policy == AnswerPolicy::kTail &&
         now >= this->options.start + front.tail_target &&
         answered.units_answered > 0 &&
         answered.Reaches(front.minimum_coverage);
}

bool QueryRun::SnapshotUnavailable(const ServiceProgress& service) const {
  if (service.call.state() != ServiceCall::State::kFailed) {
    return false;
  }
  const auto candidates =
      this->options.hooks.candidates(service.call.service());
  return service.snapshot_missing ||
         std::ranges::none_of(candidates, [this](const auto& candidate) {
           return CanServe(candidate, this->pinned_snapshot);
         });
}

bool QueryRun::TryRestart(TimePoint now, QueryActions& actions) {
  if (this->run_stats.restarts >= kMaxRestarts ||
      std::ranges::none_of(this->services, [this](const auto& service) {
        return this->SnapshotUnavailable(service);
      })) {
    return false;
  }
  const auto choice =
      ChooseSnapshot(this->options.front, this->AllCandidates(),
                     this->options.snapshot_policy, this->pinned_snapshot);
  if (!choice || !CoversMore(choice->reachable, this->ReachableCoverage())) {
    return false;
  }
  Duration expected_latency{};
  const auto* generation =
      FindGeneration(this->options.front, choice->snapshot.generation);
  for (const auto& [service, units] : generation->units) {
    expected_latency =
        std::max(expected_latency, MedianLatency(this->Context(), service));
  }
  if (now + expected_latency >= this->answer_by) {
    return false;
  }
  this->run_stats.restarts += 1;
  this->CancelAll(now, actions);
  this->PinSnapshot(choice->snapshot);
  this->StartServices(now, actions);
  return true;
}

void QueryRun::CancelAll(TimePoint now, QueryActions& actions) {
  for (ServiceProgress& service : this->services) {
    this->any_unknown = this->any_unknown || service.call.has_in_flight();
    service.call.CancelInFlight(this->Context(), now, actions);
  }
}

void QueryRun::Finish(TimePoint now, QueryActions& actions) {
  this->CancelAll(now, actions);
  const Coverage answered = this->AnsweredCoverage();
  if (answered.units_answered > 0 &&
      answered.Reaches(this->options.front.minimum_coverage)) {
    this->is_finished = true;
    actions.emplace_back(FinishAnswer{this->MakeAnswer()});
    return;
  }
  this->Refuse(this->MakeRefusal(now), actions);
}

QueryAnswer QueryRun::MakeAnswer() {
  QueryAnswer answer{.request_id = this->options.request_id,
                     .snapshot = this->pinned_snapshot,
                     .coverage = this->AnsweredCoverage(),
                     .missing_services = {},
                     .hits = {}};
  std::vector<Hit> hits;
  for (ServiceProgress& service : this->services) {
    if (service.units_answered < service.units) {
      answer.missing_services.push_back(service.call.service());
    }
    std::ranges::move(service.hits, std::back_inserter(hits));
  }
  answer.hits = MergeHits(std::move(hits), this->options.limit);
  return answer;
}

QueryRefusal QueryRun::MakeRefusal(TimePoint now) const {
  QueryRefusal refusal{.status = 503,
                       .title = "Coverage too low",
                       .detail = {},
                       .outcome = RunOutcome::kNotRun,
                       .retry_after = {}};
  refusal.detail = "the replies cover " + this->AnsweredCoverage().ToText() +
                   " of the index" +
                   (now >= this->answer_by ? " by the deadline" : "");
  if (this->any_run) {
    refusal.outcome = RunOutcome::kRun;
  } else if (this->any_unknown) {
    refusal.outcome = RunOutcome::kUnknown;
  }
  // A retry is useful once the last of the failed services may have a free
  // slot.
  bool any_failed = false;
  for (const ServiceProgress& service : this->services) {
    if (service.call.state() == ServiceCall::State::kFailed) {
      any_failed = true;
      refusal.retry_after =
          std::max(refusal.retry_after,
                   service.call.retry_after().value_or(kDefaultRetryAfter));
    }
  }
  if (!any_failed) {
    refusal.retry_after = kDefaultRetryAfter;
  }
  return refusal;
}

void QueryRun::Refuse(QueryRefusal refusal, QueryActions& actions) {
  this->is_finished = true;
  actions.emplace_back(FinishRefusal{std::move(refusal)});
}

Coverage QueryRun::AnsweredCoverage() const {
  Coverage coverage;
  for (const ServiceProgress& service : this->services) {
    coverage.units_answered += service.units_answered;
    coverage.units_total += service.units;
  }
  return coverage;
}

Coverage QueryRun::ReachableCoverage() const {
  Coverage coverage;
  for (const ServiceProgress& service : this->services) {
    const bool pending = service.call.state() == ServiceCall::State::kPending;
    coverage.units_answered += pending ? service.units : service.units_answered;
    coverage.units_total += service.units;
  }
  return coverage;
}

bool QueryRun::AnyPending() const {
  return std::ranges::any_of(this->services, [](const auto& service) {
    return service.call.state() == ServiceCall::State::kPending;
  });
}

void QueryRun::RecordOutcome(RunOutcome outcome) {
  this->any_run = this->any_run || outcome == RunOutcome::kRun;
  this->any_unknown = this->any_unknown || outcome == RunOutcome::kUnknown;
}

}  // namespace knapweedroad
