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
    this->Refuse({.status = 504,
                  .title = "Deadline passed",
                  .detail = "the deadline passed before the query began",
                  .outcome = RunOutcome::kNotRun},
                 actions);
    return actions;
  }
  const auto choice = ChooseSnapshot(this->options.front, this->AllCandidates(),
                                     this->options.snapshot_rule);
  if (!choice) {
    this->Refuse({.status = 503,
                  .title = "No target",
                  .detail = "no usable target holds a known snapshot",
                  .outcome = RunOutcome::kNotRun,
                  .retry_after = kDefaultRetryAfter},
                 actions);
    return actions;
  }
  this->Pin(choice->snapshot);
  // What can't reach the minimum is refused before it loads any target.
  if (choice->reachable.Reaches(this->options.front.minimum_coverage)) {
    this->SendAll(now, actions);
  } else {
    this->Finish(now, actions);
    return actions;
  }
  this->Settle(now, actions);
  return actions;
}

QueryActions QueryRun::OnReply(const AttemptId& attempt,
                               SubReply reply,
                               TimePoint now) {
  QueryActions actions;
  // Only ids that are awaited right now are looked up, and a restart forgets
  // those of before: a late answer may be of another query or snapshot.
  for (Part& part : this->parts) {
    const auto taken = part.call.Take(attempt);
    if (!taken) {
      continue;
    }
    this->any_run = true;
    if (reply.snapshot == this->pinned) {
      part.units_answered = std::min(reply.units, part.units);
      part.hits = std::move(reply.hits);
      part.call.OnAnswered(this->Context(), *taken, now, actions);
    } else {
      this->run_stats.wrong_snapshots += 1;
      part.snapshot_lost = true;
      const SubFailure failure{.outcome = RunOutcome::kRun,
                               .kind = FailureKind::kBroken};
      part.call.OnFailed(this->Context(), *taken, failure, now, actions);
    }
    this->Settle(now, actions);
    break;
  }
  return actions;
}

QueryActions QueryRun::OnFailure(const AttemptId& attempt,
                                 const SubFailure& failure,
                                 TimePoint now) {
  QueryActions actions;
  for (Part& part : this->parts) {
    const auto taken = part.call.Take(attempt);
    if (!taken) {
      continue;
    }
    this->NoteOutcome(failure.outcome);
    part.snapshot_lost =
        part.snapshot_lost || failure.kind == FailureKind::kNoSnapshot;
    part.call.OnFailed(this->Context(), *taken, failure, now, actions);
    this->Settle(now, actions);
    break;
  }
  return actions;
}

QueryActions QueryRun::OnTimer(TimePoint now) {
  QueryActions actions;
  this->Settle(now, actions);
  for (Part& part : this->parts) {
    part.call.OnTimer(this->Context(), now, actions);
  }
  this->Settle(now, actions);
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
      this->Answered().Reaches(front.minimum_coverage)) {
    wake = std::min(wake, this->options.start + front.tail_target);
  }
  for (const Part& part : this->parts) {
    wake = std::min(wake, part.call.NextWake().value_or(wake));
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

void QueryRun::Pin(const SnapshotId& snapshot) {
  this->pinned = snapshot;
  this->parts.clear();
  const auto* generation =
      FindGeneration(this->options.front, snapshot.generation);
  for (const auto& [service, units] : generation->units) {
    this->parts.push_back(
        {.call = ServiceCall(service, snapshot), .units = units});
  }
}

void QueryRun::SendAll(TimePoint now, QueryActions& actions) {
  for (Part& part : this->parts) {
    part.call.Start(this->Context(), now, actions);
  }
}

void QueryRun::Settle(TimePoint now, QueryActions& actions) {
  if (this->is_finished || this->TryRestart(now, actions)) {
    return;
  }
  const bool hopeless =
      !this->Possible().Reaches(this->options.front.minimum_coverage);
  if (!this->AnyOpen() || hopeless || this->TailAtRisk(now) ||
      now >= this->answer_by) {
    this->Finish(now, actions);
  }
}

bool QueryRun::TailAtRisk(TimePoint now) const {
  const FrontConfig& front = this->options.front;
  const Coverage answered = this->Answered();
  return front.policy == AnswerPolicy::kTail &&
         now >= this->options.start + front.tail_target &&
         answered.units_answered > 0 &&
         answered.Reaches(front.minimum_coverage);
}

bool QueryRun::SnapshotLost(const Part& part) const {
  if (part.call.state() != ServiceCall::State::kGivenUp) {
    return false;
  }
  const auto candidates = this->options.hooks.candidates(part.call.service());
  return part.snapshot_lost ||
         std::ranges::none_of(candidates, [this](const auto& candidate) {
           return CanServe(candidate, this->pinned);
         });
}

bool QueryRun::TryRestart(TimePoint now, QueryActions& actions) {
  if (this->run_stats.restarts >= kMaxRestarts ||
      std::ranges::none_of(this->parts, [this](const auto& part) {
        return this->SnapshotLost(part);
      })) {
    return false;
  }
  const auto choice = ChooseSnapshot(this->options.front, this->AllCandidates(),
                                     this->options.snapshot_rule, this->pinned);
  if (!choice || !CoversMore(choice->reachable, this->Possible())) {
    return false;
  }
  Duration needed{};
  const auto* generation =
      FindGeneration(this->options.front, choice->snapshot.generation);
  for (const auto& [service, units] : generation->units) {
    needed = std::max(needed, TypicalLatency(this->Context(), service));
  }
  if (now + needed >= this->answer_by) {
    return false;
  }
  this->run_stats.restarts += 1;
  this->CancelAll(now, actions);
  this->Pin(choice->snapshot);
  this->SendAll(now, actions);
  return true;
}

void QueryRun::CancelAll(TimePoint now, QueryActions& actions) {
  for (Part& part : this->parts) {
    this->any_unknown = this->any_unknown || part.call.has_live();
    part.call.CancelLive(this->Context(), now, actions);
  }
}

void QueryRun::Finish(TimePoint now, QueryActions& actions) {
  this->CancelAll(now, actions);
  const Coverage answered = this->Answered();
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
                     .snapshot = this->pinned,
                     .coverage = this->Answered(),
                     .missing_services = {},
                     .hits = {}};
  std::vector<Hit> hits;
  for (Part& part : this->parts) {
    if (part.units_answered < part.units) {
      answer.missing_services.push_back(part.call.service());
    }
    std::ranges::move(part.hits, std::back_inserter(hits));
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
  refusal.detail = "covered " + this->Answered().ToText() + " of the index" +
                   (now >= this->answer_by ? " by the deadline" : "");
  if (this->any_run) {
    refusal.outcome = RunOutcome::kRun;
  } else if (this->any_unknown) {
    refusal.outcome = RunOutcome::kUnknown;
  }
  // Worth asking again once the last of the missing services may answer.
  bool any_given_up = false;
  for (const Part& part : this->parts) {
    if (part.call.state() == ServiceCall::State::kGivenUp) {
      any_given_up = true;
      refusal.retry_after =
          std::max(refusal.retry_after,
                   part.call.retry_after().value_or(kDefaultRetryAfter));
    }
  }
  if (!any_given_up) {
    refusal.retry_after = kDefaultRetryAfter;
  }
  return refusal;
}

void QueryRun::Refuse(QueryRefusal refusal, QueryActions& actions) {
  this->is_finished = true;
  actions.emplace_back(FinishRefusal{std::move(refusal)});
}

Coverage QueryRun::Answered() const {
  Coverage coverage;
  for (const Part& part : this->parts) {
    coverage.units_answered += part.units_answered;
    coverage.units_total += part.units;
  }
  return coverage;
}

Coverage QueryRun::Possible() const {
  Coverage coverage;
  for (const Part& part : this->parts) {
    const bool open = part.call.state() == ServiceCall::State::kOpen;
    coverage.units_answered += open ? part.units : part.units_answered;
    coverage.units_total += part.units;
  }
  return coverage;
}

bool QueryRun::AnyOpen() const {
  return std::ranges::any_of(this->parts, [](const auto& part) {
    return part.call.state() == ServiceCall::State::kOpen;
  });
}

void QueryRun::NoteOutcome(RunOutcome outcome) {
  this->any_run = this->any_run || outcome == RunOutcome::kRun;
  this->any_unknown = this->any_unknown || outcome == RunOutcome::kUnknown;
}

}  // namespace knapweedroad
