#include "bench/query/experiment_host.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedroad::bench {
namespace {

constexpr SnapshotId kSnapshot{.generation = 1, .index_version = 1};
// The baseline gives up on nothing.
constexpr Duration kForever = std::chrono::seconds(60);

}  // namespace

ExperimentHost::ExperimentHost(EventQueue& events,
                               Fleet& fleet,
                               const ExperimentOptions& options,
                               const FrontConfig& front,
                               const ZoneId& zone,
                               ExperimentResult& result)
    : events(events),
      fleet(fleet),
      options(options),
      front(front),
      zone(zone),
      result(result),
      state(front),
      limiter({.front = front, .slow_fraction = options.slow_share}),
      random(fleet.service_times()) {
  if (options.baseline) {
    this->state.SetOverloaded(true);
  }
}

void ExperimentHost::Ask(const std::string& tenant,
                         const std::string& class_name) {
  const TimePoint now = this->events.now();
  const uint64_t query = ++this->queries;
  const TimePoint deadline =
      now + (this->options.baseline ? kForever : this->options.deadline);
  Open opened{
      .run = nullptr,
      .record = {.arrived = now, .tenant = tenant, .class_name = class_name},
      .deadline = deadline};
  if (this->options.gate) {
    const QueryAdmissionRequest request{TenantId(tenant), class_name, deadline};
    const bool refused = this->limiter.TryAdmit(request, now).has_value();
    this->state.SetOverloaded(this->limiter.IsOverloaded(now));
    if (refused) {
      opened.record.refused = true;
      opened.record.at_gate = true;
      this->result.queries.push_back(std::move(opened.record));
      return;
    }
  }
  opened.run = std::make_unique<QueryRun>(
      QueryRunOptions{.front = this->front,
                      .own_zone = this->zone,
                      .request_id = std::to_string(query),
                      .start = now,
                      .deadline = deadline,
                      .state = this->state,
                      .hooks = this->Hooks()});
  QueryRun& run = *opened.run;
  this->open.emplace(query, std::move(opened));
  this->Perform(query, run.Start(now));
}

QueryHooks ExperimentHost::Hooks() {
  QueryHooks hooks;
  hooks.candidates = [this](const ServiceId& service) {
    return this->fleet.view[service];
  };
  hooks.next_attempt_id = [this] {
    return AttemptId(std::to_string(++this->fleet.attempts));
  };
  hooks.random = [this] { return this->random(); };
  return hooks;
}

void ExperimentHost::Perform(uint64_t query, const QueryActions& actions) {
  for (const QueryAction& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      this->Send(query, *send);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->Cancel(*cancel);
    } else if (const auto* answer = std::get_if<FinishAnswer>(&action)) {
      this->Finish(query, answer->answer.coverage.Value(), false);
    } else {
      this->Finish(query, 0.0, true);
    }
  }
  this->Arm(query);
}

AdmissionRequest ExperimentHost::RequestOf(uint64_t query,
                                           const SendAttempt& send) const {
  AdmissionRequest request{.attempt = send.attempt.str(),
                           .deadline = send.deadline};
  if (send.purpose != AttemptPurpose::kFirst) {
    request.kind = send.purpose == AttemptPurpose::kHedge ? AttemptKind::kHedge
                                                          : AttemptKind::kRetry;
  }
  const QueryRecord& record = this->open.at(query).record;
  request.tenant = TenantId(record.tenant);
  request.request_class = record.class_name;
  for (const TenantConfig& tenant : this->front.tenants) {
    if (tenant.name == request.tenant) {
      request.tenant_weight = tenant.weight;
      const auto weight = tenant.class_weights.find(record.class_name);
      const bool named = weight != tenant.class_weights.end();
      request.class_weight = named ? weight->second : 1;
    }
  }
  return request;
}

void ExperimentHost::Send(uint64_t query, const SendAttempt& send) {
  // Drawn here, in the order of sends, and not where it runs.
  const Duration time = this->ServiceTime();
  const AdmissionRequest request = this->RequestOf(query, send);
  this->events.Post(this->HopTo(send.target), [=, this] {
    this->fleet.targets.at(send.target)
        .searcher->Submit(
            {.request = request,
             .service_time = time,
             .done = [this, query, send](JobEnd end, Duration retry_after) {
               this->events.Post(this->HopTo(send.target), [=, this] {
                 this->Deliver(query, send, end, retry_after);
               });
             }});
  });
}

void ExperimentHost::Deliver(uint64_t query,
                             const SendAttempt& send,
                             JobEnd end,
                             Duration retry_after) {
  const auto found = this->open.find(query);
  if (found == this->open.end()) {
    return;
  }
  QueryRun& run = *found->second.run;
  const TimePoint now = this->events.now();
  if (end == JobEnd::kAnswered) {
    const SearchReply reply{.snapshot = kSnapshot, .units = 10, .hits = {}};
    this->Perform(query, run.OnReply(send.attempt, reply, now));
    return;
  }
  const bool refused = end == JobEnd::kRefused;
  TargetAttemptFailure failure{
      .outcome = RunOutcome::kNotRun,
      .kind = refused ? FailureKind::kRefusedByHolder : FailureKind::kTimeout};
  if (refused) {
    failure.retry_after = retry_after;
  }
  this->Perform(query, run.OnFailure(send.attempt, failure, now));
}

void ExperimentHost::Cancel(const CancelAttempt& cancel) {
  this->events.Post(this->HopTo(cancel.target), [this, cancel] {
    this->fleet.targets.at(cancel.target)
        .searcher->Cancel(cancel.attempt.str());
  });
}

void ExperimentHost::Finish(uint64_t query, double coverage, bool refused) {
  const auto found = this->open.find(query);
  Open& opened = found->second;
  const TimePoint now = this->events.now();
  const QueryRunStats& stats = opened.run->stats();
  this->result.first_tries += stats.first_attempts;
  this->result.hedges += stats.hedges;
  this->result.retries += stats.retries;
  if (this->options.gate) {
    this->limiter.Finish({.tenant = TenantId(opened.record.tenant),
                          .class_name = opened.record.class_name,
                          .start = opened.record.arrived,
                          .deadline = opened.deadline,
                          .refused_sub_requests = stats.refused},
                         now);
    this->state.SetOverloaded(this->limiter.IsOverloaded(now));
  }
  opened.record.took = now - opened.record.arrived;
  opened.record.coverage = coverage;
  opened.record.refused = refused;
  this->result.queries.push_back(std::move(opened.record));
  this->open.erase(found);
}

void ExperimentHost::Arm(uint64_t query) {
  const auto found = this->open.find(query);
  if (found == this->open.end()) {
    return;
  }
  const TimePoint wake = *found->second.run->NextWake();
  this->events.PostAt(wake, [this, query, wake] {
    const auto still = this->open.find(query);
    if (still != this->open.end() && still->second.run->NextWake() == wake) {
      this->Perform(query, still->second.run->OnTimer(wake));
    }
  });
}

Duration ExperimentHost::HopTo(const TargetId& target) const {
  const bool same = this->fleet.targets.at(target).zone == this->zone;
  return same ? this->options.local_hop : this->options.zone_hop;
}

Duration ExperimentHost::ServiceTime() {
  std::mt19937_64& source = this->fleet.service_times;
  std::lognormal_distribution<double> factor(0.0, this->options.sigma);
  std::uniform_real_distribution<double> share(0.0, 1.0);
  double times = factor(source);
  if (share(source) < this->options.straggler_share) {
    times *= this->options.straggler_factor;
  }
  return std::chrono::duration_cast<Duration>(this->options.median_time *
                                              times);
}

}  // namespace knapweedroad::bench
