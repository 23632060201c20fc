#include "knapweedroad/testing/searcher_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad {
namespace {

// Searchers keep this many snapshots, so that a query pinned to the last one
// still finds it after a change of version.
constexpr size_t kSnapshotsKept = 2;
constexpr size_t kViolationsKeptOfAKind = 20;
constexpr int kStatusShed = 503;
constexpr int kStatusNotHeld = 409;
constexpr int kStatusTooLate = 504;
constexpr int kStatusBroken = 500;

}  // namespace

SearcherCore::SearcherCore(SearcherCoreOptions options, TimePoint now)
    : settings(std::move(options)),
      made(now),
      random(this->settings.seed),
      cold(this->settings.starts_cold),
      snapshots({this->settings.snapshot}) {
  this->units_by_generation[this->settings.snapshot.generation] =
      this->settings.units;
}

tl::expected<WorkTicket, WorkRefusal> SearcherCore::Begin(
    const WorkRequest& request,
    TimePoint now) {
  this->CountArrival(now);
  if (auto refusal = this->FindRefusal(request, now)) {
    return tl::unexpected(std::move(*refusal));
  }
  this->CountExecution(request, now);
  Duration run_for = this->DrawServiceTime();
  const bool expires = request.remaining && *request.remaining < run_for;
  if (expires) {
    run_for = *request.remaining;
  }
  const uint64_t number = this->next_ticket++;
  this->running[number] = {
      .request = request, .started = now, .expires = expires};
  return WorkTicket{.number = number, .run_for = run_for};
}

tl::expected<WorkAnswer, WorkRefusal> SearcherCore::Finish(uint64_t ticket,
                                                           TimePoint now) {
  const auto found = this->running.find(ticket);
  if (found == this->running.end()) {
    return tl::unexpected(WorkRefusal{.status = kStatusBroken,
                                      .outcome = RunOutcome::kRun,
                                      .detail = "cancelled while it ran"});
  }
  const Running work = std::move(found->second);
  this->running.erase(found);
  this->WarmUp();
  if (!this->faults.answers_hide_state) {
    this->StateTold(now);
  }
  if (work.expires) {
    ++this->counted.expired;
    return tl::unexpected(WorkRefusal{.status = kStatusTooLate,
                                      .outcome = RunOutcome::kRun,
                                      .detail = "the deadline passed"});
  }
  if (this->Draw(this->faults.error_probability)) {
    return tl::unexpected(WorkRefusal{.status = kStatusBroken,
                                      .outcome = std::nullopt,
                                      .detail = "internal error"});
  }
  ++this->counted.answered;
  if (this->Draw(this->faults.crossed_probability)) {
    WorkRequest other = work.request;
    other.attempt_id += "-other";
    other.subject += " (another request)";
    return this->AnswerTo(other);
  }
  WorkAnswer answer = this->AnswerTo(work.request);
  answer.truncated = this->Draw(this->faults.truncated_probability);
  return answer;
}

std::optional<uint64_t> SearcherCore::Cancel(const std::string& attempt_id) {
  const auto found =
      std::find_if(this->running.begin(), this->running.end(),
                   [&attempt_id](const auto& entry) {
                     return entry.second.request.attempt_id == attempt_id;
                   });
  if (found == this->running.end()) {
    return std::nullopt;
  }
  const uint64_t ticket = found->first;
  this->running.erase(found);
  ++this->counted.cancelled;
  return ticket;
}

TargetReport SearcherCore::MakeReport() {
  TargetReport report;
  report.target = this->settings.target;
  report.front = this->settings.front;
  report.service = this->settings.service;
  report.zone = this->settings.zone;
  report.incarnation = this->settings.incarnation;
  report.sequence = ++this->sequence;
  report.state = this->told_state();
  report.snapshots = this->snapshots;
  report.in_flight = this->faults.reports_idle ? 0 : this->in_flight();
  return report;
}

void SearcherCore::ReportTaken(TimePoint now) {
  this->StateTold(now);
}

bool SearcherCore::ConnectionOpened(TimePoint now) {
  ++this->connections;
  ++this->counted.connections_opened;
  this->counted.peak_connections =
      std::max(this->counted.peak_connections, this->connections);
  if (this->connections <= this->settings.connections) {
    return true;
  }
  this->AddViolation(ViolationKind::kOverConnections, now,
                     std::to_string(this->connections) + " open");
  return false;
}

void SearcherCore::ConnectionClosed() {
  --this->connections;
}

void SearcherCore::FallCold() {
  ++this->counted.falls_cold;
  this->cold = true;
  this->done_while_cold = 0;
  this->evidence_at.reset();
  this->cold_overloads.clear();
  this->fallen_until.reset();
}

void SearcherCore::EndColdStart() {
  this->cold = false;
  this->fallen_until.reset();
}

void SearcherCore::Restart() {
  this->FallCold();
  this->running.clear();
  this->leaving_since.reset();
  ++this->settings.incarnation;
  this->sequence = 0;
}

void SearcherCore::Leave(TimePoint now) {
  if (!this->leaving_since) {
    this->leaving_since = now;
  }
}

void SearcherCore::AddSnapshot(SnapshotId snapshot,
                               std::optional<uint32_t> units) {
  if (units) {
    this->units_by_generation[snapshot.generation] = *units;
  }
  this->units_by_generation.try_emplace(snapshot.generation,
                                        this->settings.units);
  if (std::find(this->snapshots.begin(), this->snapshots.end(), snapshot) !=
      this->snapshots.end()) {
    return;
  }
  this->snapshots.push_back(snapshot);
  std::sort(this->snapshots.begin(), this->snapshots.end());
  if (this->snapshots.size() > kSnapshotsKept) {
    this->snapshots.erase(this->snapshots.begin());
  }
}

void SearcherCore::MarkZone(bool out, TimePoint now) {
  if (!out) {
    this->zone_out_since.reset();
  } else if (!this->zone_out_since) {
    this->zone_out_since = now;
  }
}

void SearcherCore::ResetCounts() {
  this->counted = SearcherCounts();
  this->counted.peak_connections = this->connections;
}

TargetState SearcherCore::state() const {
  if (this->leaving_since) {
    return TargetState::kLeaving;
  }
  return this->cold ? TargetState::kCold : TargetState::kReady;
}

TargetState SearcherCore::told_state() const {
  const TargetState truth = this->state();
  const bool lies =
      this->faults.reports_ready && truth != TargetState::kLeaving;
  return lies ? TargetState::kReady : truth;
}

uint32_t SearcherCore::in_flight() const {
  return static_cast<uint32_t>(this->running.size());
}

uint64_t SearcherCore::RequestExecutions(const std::string& request_id) const {
  const auto found = this->request_executions.find(request_id);
  return found == this->request_executions.end() ? 0 : found->second;
}

uint64_t SearcherCore::KeyExecutions(const std::string& key) const {
  const auto found = this->key_executions.find(key);
  return found == this->key_executions.end() ? 0 : found->second;
}

void SearcherCore::CountArrival(TimePoint now) {
  ++this->counted.received;
  const uint32_t offered = this->in_flight() + 1;
  this->counted.peak_in_flight =
      std::max(this->counted.peak_in_flight, offered);
  if (this->cold) {
    this->counted.peak_in_flight_cold =
        std::max(this->counted.peak_in_flight_cold, offered);
  }
  const Duration grace = this->settings.leave_grace;
  if (this->leaving_since && now - *this->leaving_since > grace) {
    this->AddViolation(ViolationKind::kWorkAfterLeaving, now,
                       "new work after it said that it leaves");
  }
  if (this->zone_out_since && now - *this->zone_out_since > grace) {
    this->AddViolation(ViolationKind::kWorkAfterZoneOut, now,
                       "new work after its zone was taken out");
  }
}

std::optional<WorkRefusal> SearcherCore::FindRefusal(const WorkRequest& request,
                                                     TimePoint now) {
  if (request.remaining && *request.remaining <= Duration::zero()) {
    ++this->counted.too_late;
    return WorkRefusal{.status = kStatusTooLate,
                       .detail = "the deadline passed before it began"};
  }
  if (request.kind == WorkKind::kSearch &&
      std::find(this->snapshots.begin(), this->snapshots.end(),
                request.snapshot) == this->snapshots.end()) {
    ++this->counted.not_held;
    return WorkRefusal{
        .status = kStatusNotHeld,
        .detail = "snapshot " + request.snapshot.ToString() + " is not held"};
  }
  if (auto refusal = this->ShedOverLimit(now)) {
    return refusal;
  }
  if (this->Draw(this->faults.shed_probability)) {
    ++this->counted.shed_by_fault;
    return WorkRefusal{.status = kStatusShed, .detail = "shed"};
  }
  return std::nullopt;
}

std::optional<WorkRefusal> SearcherCore::ShedOverLimit(TimePoint now) {
  if (this->fallen_until && now < *this->fallen_until) {
    ++this->counted.shed;
    this->evidence_at = this->evidence_at.value_or(now);
    return WorkRefusal{.status = kStatusShed, .detail = "fallen over"};
  }
  const uint32_t limit =
      this->cold ? this->settings.cold_slots : this->settings.slots;
  if (this->in_flight() < limit) {
    return std::nullopt;
  }
  ++this->counted.shed;
  const std::string detail = std::to_string(this->in_flight() + 1) +
                             " in flight, limit " + std::to_string(limit);
  if (this->cold) {
    this->AddViolation(this->EvidenceHadTime(now)
                           ? ViolationKind::kOverColdLimit
                           : ViolationKind::kOverColdLimitUnknown,
                       now, detail);
    this->OnColdOverload(now);
  } else {
    this->AddViolation(ViolationKind::kOverSlots, now, detail);
  }
  // A shed shows that the target is at its limit even where its reports lie.
  this->evidence_at = this->evidence_at.value_or(now);
  return WorkRefusal{.status = kStatusShed, .detail = detail};
}

void SearcherCore::OnColdOverload(TimePoint now) {
  std::erase_if(this->cold_overloads, [this, now](TimePoint at) {
    return now - at > this->settings.overload_window;
  });
  this->cold_overloads.push_back(now);
  if (this->cold_overloads.size() < this->settings.overload_tolerance) {
    return;
  }
  ++this->counted.falls_over;
  this->cold_overloads.clear();
  this->done_while_cold = 0;
  this->fallen_until = now + this->settings.fallen_for;
}

void SearcherCore::CountExecution(const WorkRequest& request, TimePoint now) {
  ++this->counted.executed;
  ++this->request_executions[request.request_id];
  if (request.kind != WorkKind::kLookup || request.idempotency_key.empty()) {
    return;
  }
  const uint64_t executions = ++this->key_executions[request.idempotency_key];
  if (executions > 1) {
    this->AddViolation(ViolationKind::kKeyRanTwice, now,
                       "key " + request.idempotency_key);
  }
}

void SearcherCore::WarmUp() {
  if (!this->cold) {
    return;
  }
  ++this->done_while_cold;
  if (this->done_while_cold >= this->settings.warm_after) {
    this->cold = false;
  }
}

void SearcherCore::StateTold(TimePoint now) {
  if (this->told_state() == TargetState::kCold && !this->evidence_at) {
    this->evidence_at = now;
  }
}

bool SearcherCore::EvidenceHadTime(TimePoint now) const {
  return this->evidence_at &&
         now - *this->evidence_at > this->settings.evidence_grace;
}

WorkAnswer SearcherCore::AnswerTo(const WorkRequest& request) const {
  WorkAnswer answer;
  answer.kind = request.kind;
  answer.attempt_id = request.attempt_id;
  if (request.kind == WorkKind::kSearch) {
    answer.snapshot = request.snapshot;
    const auto units =
        this->units_by_generation.find(request.snapshot.generation);
    answer.units = units == this->units_by_generation.end() ? 0 : units->second;
    answer.hits = TrueHits({.front = this->settings.front,
                            .snapshot = request.snapshot,
                            .service = this->settings.service},
                           request.subject);
    return answer;
  }
  answer.snapshot = this->snapshots.back();
  answer.record = request.subject;
  answer.record_text =
      TrueRecordText(this->settings.front, answer.snapshot, request.subject);
  return answer;
}

Duration SearcherCore::DrawServiceTime() {
  std::normal_distribution<double> normal(0.0,
                                          this->settings.service_time_sigma);
  double factor = std::exp(normal(this->random));
  if (this->cold) {
    factor *= this->settings.cold_factor;
  }
  if (this->Draw(this->faults.straggle_probability)) {
    factor *= this->faults.straggle_factor;
  }
  const auto median =
      static_cast<double>(this->settings.service_time_median.count());
  return Duration(static_cast<Duration::rep>(median * factor));
}

bool SearcherCore::Draw(double probability) {
  if (probability <= 0.0) {
    return false;
  }
  return std::bernoulli_distribution(std::min(probability, 1.0))(this->random);
}

void SearcherCore::AddViolation(ViolationKind kind,
                                TimePoint now,
                                std::string detail) {
  const uint64_t seen = ++this->counted.violations[kind];
  if (seen <= kViolationsKeptOfAKind) {
    this->counted.first_violations.push_back(
        {.kind = kind, .at = now - this->made, .detail = std::move(detail)});
  }
}

}  // namespace knapweedroad
