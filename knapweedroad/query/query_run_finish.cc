// How a QueryRun ends: when, with what, or all over again.

#include <algorithm>
#include <iterator>
#include <utility>

#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/hit_merge.h"
#include "knapweedroad/query/query_run.h"

namespace knapweedroad {
namespace {

constexpr uint32_t kMaxRestarts = 2;
// For refusals whose cause names no time: about what a target needs to
// announce itself again.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
constexpr int kMarginShare = 4;

}  // namespace

void QueryRun::Settle(TimePoint now, QueryActions& actions) {
  if (this->is_finished || this->TryRestart(now, actions)) {
    return;
  }
  const FrontConfig& front = this->options.front;
  const bool hopeless = !this->Possible().Reaches(front.minimum_coverage);
  const bool tail_at_risk = front.policy == AnswerPolicy::kTail &&
                            now >= this->options.start + front.tail_target &&
                            this->Answered().units_answered > 0 &&
                            this->Answered().Reaches(front.minimum_coverage);
  if (!this->AnyOpen() || hopeless || tail_at_risk || now >= this->AnswerBy()) {
    this->Finish(now, actions);
  }
}

bool QueryRun::TryRestart(TimePoint now, QueryActions& actions) {
  const bool lost = std::ranges::any_of(this->parts, [](const auto& part) {
    return part.state == PartState::kGivenUp && part.snapshot_lost;
  });
  if (!lost || this->run_stats.restarts >= kMaxRestarts) {
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
    needed = std::max(needed, this->TypicalLatency(service));
  }
  if (now + needed >= this->AnswerBy()) {
    return false;
  }
  this->run_stats.restarts += 1;
  for (QueryPart& part : this->parts) {
    this->any_unknown = this->any_unknown || !part.live.empty();
    this->CancelLive(part, now, actions);
  }
  this->Pin(choice->snapshot);
  this->SendAll(now, actions);
  return true;
}

void QueryRun::Finish(TimePoint now, QueryActions& actions) {
  for (QueryPart& part : this->parts) {
    this->any_unknown = this->any_unknown || !part.live.empty();
    this->CancelLive(part, now, actions);
  }
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
  for (QueryPart& part : this->parts) {
    if (part.units_answered < part.units) {
      answer.missing_services.push_back(part.service);
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
                   (now >= this->AnswerBy() ? " by the deadline" : "");
  if (this->any_run) {
    refusal.outcome = RunOutcome::kRun;
  } else if (this->any_unknown) {
    refusal.outcome = RunOutcome::kUnknown;
  }
  // Worth asking again once the last of the missing services may answer.
  bool any_given_up = false;
  for (const QueryPart& part : this->parts) {
    if (part.state == PartState::kGivenUp) {
      any_given_up = true;
      refusal.retry_after = std::max(
          refusal.retry_after, part.retry_after.value_or(kDefaultRetryAfter));
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
  for (const QueryPart& part : this->parts) {
    coverage.units_answered += part.units_answered;
    coverage.units_total += part.units;
  }
  return coverage;
}

Coverage QueryRun::Possible() const {
  Coverage coverage;
  for (const QueryPart& part : this->parts) {
    const bool open = part.state == PartState::kOpen;
    coverage.units_answered += open ? part.units : part.units_answered;
    coverage.units_total += part.units;
  }
  return coverage;
}

bool QueryRun::AnyOpen() const {
  return std::ranges::any_of(this->parts, [](const auto& part) {
    return part.state == PartState::kOpen;
  });
}

TimePoint QueryRun::AnswerBy() const {
  const Duration time = this->options.deadline - this->options.start;
  return this->options.deadline -
         std::min(this->options.return_margin, time / kMarginShare);
}

Duration QueryRun::TypicalLatency(const ServiceId& service) const {
  constexpr double kMedian = 0.5;
  return this->options.state.latencies
      .Quantile(service, this->options.own_zone, kMedian)
      .value_or(Duration::zero());
}

const ServiceConfig& QueryRun::ServiceOf(const ServiceId& service) const {
  static const ServiceConfig unknown{.slots = 1};
  for (const ServiceConfig& config : this->options.front.services) {
    if (config.name == service) {
      return config;
    }
  }
  return unknown;
}

void QueryRun::NoteOutcome(RunOutcome outcome) {
  this->any_run = this->any_run || outcome == RunOutcome::kRun;
  this->any_unknown = this->any_unknown || outcome == RunOutcome::kUnknown;
}

}  // namespace knapweedroad
